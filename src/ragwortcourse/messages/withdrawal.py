"""A withdrawal: an operator's word that a part takes no new work."""

import enum

import msgspec

from ragwortcourse.identifiers import ChangeId, Generation


class WithdrawalScope(enum.StrEnum):
    """What kind of part is withdrawn."""

    FAILURE_DOMAIN = 'failure_domain'
    TARGET = 'target'


class Withdrawal(msgspec.Struct, frozen=True, kw_only=True):
    """Takes work away from one part until a configuration settles it.

    :param change: id of the operator's change; a document that lists it
        in ``settled_changes`` has taken it over or ended it.
    :param scope: kind of part.
    :param name: failure domain or target.
    :param generation: generation in force where it was accepted.
    """

    change: ChangeId
    scope: WithdrawalScope
    name: str
    generation: Generation
