"""Slots that are kept for more urgent requests.

Load pattern: urgent and less urgent requests fill the slots of all targets,
and many daemons decide at once on loads that are some tenths of a second old.
An urgent request at a full target waits only for the next free slot. Less
urgent ones leave the slots that urgent ones will need until the loads are
known again and the next slot is free (trunk reservation).
"""

import math
from collections.abc import Sequence
from typing import Final

# Mean age of the loads that other daemons report, with a third of them in the
# own failure domain.
REPORT_AGE_SECONDS: Final = 0.15
# Fewer expected requests than this need no slot of their own.
NEGLIGIBLE_REQUESTS: Final = 0.25
# The same at a daemon that hears of no others: its own few requests tell only
# whether there is urgent demand, which lasts for about 10 s after the last one.
UNHEARD_REQUESTS: Final = 0.01
# Share of the slots of a target that is kept at most: the urgent rate may be
# overestimated by a daemon that hears of few others.
MAX_RESERVED_SHARE: Final = 0.34


def count_reserved(
    *,
    rates: Sequence[float],
    urgency: int,
    slots: int,
    slot_interval: float,
    is_unheard: bool = False,
) -> int:
    """Count the slots of a target that a request has to leave free.

    :param rates: requests a second at the target, by urgency.
    :param urgency: of the request; zero is the most urgent.
    :param slots: requests that the target runs at once.
    :param slot_interval: seconds between two completions at full occupancy.
    :param is_unheard: true if the rates are own ones, scaled to all daemons.
    """
    rate = sum(rates[:urgency])
    expected = rate * (REPORT_AGE_SECONDS + slot_interval)
    negligible = UNHEARD_REQUESTS if is_unheard else NEGLIGIBLE_REQUESTS
    if expected < negligible:
        return 0
    return min(math.ceil(expected), int(slots * MAX_RESERVED_SHARE))
