"""Client accounts of the desired state."""

import dataclasses

from ragwortcourse.identifiers import ClientAccountName, RegionName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """Client account with its priority and allowed regions.

    :param priority: overrides the priority of the route; none: the priority
        of the route applies.
    :param regions: the only regions that may serve the account; empty allows
        all.
    """

    name: ClientAccountName
    priority: int | None = None
    regions: frozenset[RegionName] = frozenset()
