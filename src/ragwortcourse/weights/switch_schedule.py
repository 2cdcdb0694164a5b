"""When an engine is ordered to load a version that is drawn.

Load pattern: all engines of a service have drawn a version at nearly the
same moment, while requests keep coming. Each takes none while it loads, and
what it runs moves to others, which read its prompts again; so they take
turns over the time that is left. Before the order an engine finishes what it
can: slots that stay empty meanwhile cost less than prompts that are read
twice, until about half of them are empty.
"""

import dataclasses
from collections.abc import Sequence
from typing import Final

from ragwortcourse.membership.rendezvous import score_pair

# Before a version's bound, from which entry daemons send nothing to engines
# that are behind.
LAST_ORDER_SECONDS: Final = 0.8
# Part of the engines that go on until then: what the others bear alone.
LAST_SHARE: Final = 0.3
# From the last admitted request on; most answers end within it.
PATIENCE_SECONDS: Final = 0.8
# Part of the slots below which the rest is moved to other engines.
MOVED_SHARE: Final = 0.5
# A version that is drawn within this time is waited for: loading the one
# before it would take an engine away for as long.
SUCCESSOR_SECONDS: Final = 1.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SwitchSchedule:
    """When an engine is ordered.

    :param delay: seconds until it takes no more requests.
    :param drain_seconds: seconds that it may go on with what it runs then.
    """

    delay: float
    drain_seconds: float = PATIENCE_SECONDS


def schedule_switch(
    *, engines: Sequence[str], own: str, time_left: float
) -> SwitchSchedule:
    """The turn of one engine.

    :param engines: addresses of the engines of the service.
    :param time_left: seconds until no request may begin on an older version.
    """
    order = sorted(engines, key=lambda address: score_pair(address, ''))
    spread = max(time_left - LAST_ORDER_SECONDS, 0)
    if own not in order:
        return SwitchSchedule(delay=0)
    turn = order.index(own) / len(order)
    early = 1 - LAST_SHARE
    if turn < early:
        return SwitchSchedule(delay=spread * turn / early)
    return SwitchSchedule(delay=spread)


def is_ready_to_switch(*, running: int, slots: int) -> bool:
    """Tell whether what still runs is better moved than waited for."""
    return running <= slots * MOVED_SHARE
