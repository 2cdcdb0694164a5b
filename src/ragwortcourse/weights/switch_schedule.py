"""Schedule of the orders that load a downloaded version into engines.

Load pattern: all engines of a service finish downloading a version at nearly
the same time, while requests keep arriving. An engine accepts no requests
while it loads, and its running requests move to other engines, which process
their prompts again. The switches are therefore spread over the remaining
time. An engine drains before the order: idle slots cost less than prompts
that are processed twice, until about half of the slots are empty.
"""

import dataclasses
from collections.abc import Sequence
from typing import Final

from ragwortcourse.membership.rendezvous import score_pair

# Lead of the last orders before a version's bound. After the bound, entry
# daemons send nothing to engines with an older version.
LAST_ORDER_SECONDS: Final = 0.8
# Share of the engines that switch last; the other engines can carry the load
# without them.
LAST_SWITCH_SHARE: Final = 0.3
# Time from the last admitted request; most answers end within it.
DRAIN_SECONDS: Final = 0.8
# Share of busy slots up to which the running requests move to other engines.
MIGRATION_SHARE: Final = 0.5
# Longest wait for a newer version; loading its predecessor would make an
# engine unavailable for as long.
SUCCESSOR_SECONDS: Final = 1.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SwitchSchedule:
    """Times of one engine's switch.

    :param delay: seconds until the engine accepts no more requests.
    :param drain_seconds: seconds for which running requests may go on then.
    """

    delay: float
    drain_seconds: float = DRAIN_SECONDS


def schedule_switch(
    *, engines: Sequence[str], own: str, time_left: float
) -> SwitchSchedule:
    """Schedule the switch of one engine.

    :param engines: addresses of the engines of the service.
    :param own: address of the engine to schedule.
    :param time_left: seconds until no request may begin on an older version.
    """
    order = sorted(engines, key=lambda address: score_pair(address, ''))
    spread = max(time_left - LAST_ORDER_SECONDS, 0)
    if own not in order:
        return SwitchSchedule(delay=0)
    position = order.index(own) / len(order)
    early = 1 - LAST_SWITCH_SHARE
    if position < early:
        return SwitchSchedule(delay=spread * position / early)
    return SwitchSchedule(delay=spread)


def is_ready_to_switch(*, running: int, slots: int) -> bool:
    """Return whether so few requests run that moving them is cheaper."""
    return running <= slots * MIGRATION_SHARE
