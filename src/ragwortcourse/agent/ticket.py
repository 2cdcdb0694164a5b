"""What the gate looks at when it admits a piece of work."""

import dataclasses

from ragwortcourse.identifiers import ClientAccountName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """One piece of work that asks for a permit.

    :param weight: share of the client account.
    :param deadline: monotonic seconds by which the work must be done.
    :param priority: higher goes first within its client account.
    :param suspect: true where a target died under this work before.
    """

    account: ClientAccountName
    weight: float
    deadline: float
    priority: int = 0
    suspect: bool = False
