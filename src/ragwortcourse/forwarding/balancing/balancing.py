"""State of the placement by expected time."""

import dataclasses

from ragwortcourse.forwarding.balancing.target_paces import TargetPaces


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Balancing:
    """What one daemon knows of its targets for their expected times."""

    paces: TargetPaces
