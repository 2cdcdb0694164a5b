"""Withdrawals: operators' orders that a part takes no new work.

A part is a failure domain or a target.
"""

import enum

import msgspec

from ragwortcourse.identifiers import ChangeId, Generation


class WithdrawalScope(enum.StrEnum):
    """Kind of part that is withdrawn."""

    FAILURE_DOMAIN = 'failure_domain'
    TARGET = 'target'


class Withdrawal(msgspec.Struct, frozen=True, kw_only=True):
    """Order to send a part no new work, valid until settled.

    A configuration document settles the withdrawal when it lists ``change``
    in ``settled_changes``: the document has then included the withdrawal or
    ended it.

    :param change: id of the operator's change.
    :param scope: kind of part.
    :param name: name of the failure domain or target.
    :param generation: configuration generation in force at the daemon that
        accepted the withdrawal.
    """

    change: ChangeId
    scope: WithdrawalScope
    name: str
    generation: Generation
