"""Admission data of one piece of work."""

import dataclasses

from ragwortcourse.identifiers import ClientAccountName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A request for a permit at the gate.

    :param weight: fair-share weight of the client account.
    :param deadline: monotonic seconds by which the work must be done.
    :param priority: higher values go first within the client account.
    :param suspect: true if a target crashed earlier while it ran this work.
    """

    account: ClientAccountName
    weight: float
    deadline: float
    priority: int = 0
    suspect: bool = False
