"""When an engine is ordered to load a version that is drawn.

Load pattern: all engines of a service have drawn a version at nearly the
same moment, while requests keep coming. Each takes none while it loads, and
what it runs moves to others; so they take turns over the time that is left.
"""

from collections.abc import Sequence
from typing import Final

from ragwortcourse.membership.rendezvous import score_pair

# Before a version's bound, by which the last order is given.
LAST_ORDER_SECONDS: Final = 0.8


def choose_delay(
    *, engines: Sequence[str], own: str, time_left: float
) -> float:
    """Seconds to wait before the order.

    :param engines: addresses of the engines of the service.
    :param time_left: seconds until no request may begin on an older version.
    """
    order = sorted(engines, key=lambda address: score_pair(address, ''))
    if own not in order:
        return 0
    spread = max(time_left - LAST_ORDER_SECONDS, 0)
    return spread * order.index(own) / len(order)
