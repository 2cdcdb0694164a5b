"""Client accounts as routes see them."""

import dataclasses

from ragwortcourse.identifiers import ClientAccountName, RegionName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """One client account.

    :param priority: goes before a route's own; none leaves that in force.
    :param regions: the only regions that may serve it; empty allows all.
    """

    name: ClientAccountName
    priority: int | None = None
    regions: frozenset[RegionName] = frozenset()
