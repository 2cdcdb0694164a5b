"""State of the placement by expected time."""

import dataclasses

from ragwortcourse.forwarding.balancing.home_share import HomeShare
from ragwortcourse.forwarding.balancing.target_paces import TargetPaces
from ragwortcourse.forwarding.peer_counts import PeerCounts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Balancing:
    """What one daemon knows of its targets for their expected times.

    :param peer_tokens: tokens of other daemons' requests at each target beyond
        the mean of the service, as counts.
    """

    paces: TargetPaces
    home_share: HomeShare
    peer_tokens: PeerCounts
