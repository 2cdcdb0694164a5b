"""Choice of a target where priorities of the service do not differ.

Load pattern: late requests use the slots that new ones leave free. All are
alike, so each one looks for itself.
"""

import asyncio
from collections.abc import Callable

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import (
    LATE_POLL_SECONDS,
    LATE_WAIT_SECONDS,
)
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.tries import Tries


async def poll_target(
    tries: Tries, choose: Callable[[], Target | Refusal], *, is_beside: bool
) -> Target | Refusal:
    """Choose the next target; a late request waits for a free slot.

    :param is_beside: true if silent targets have the request.
    """
    began_at = read_clock()
    while True:
        target = choose()
        if not isinstance(target, Refusal) or is_beside:
            return target
        waited = read_clock() - began_at
        if target.reason is not Reason.OVERLOADED or not tries.is_late:
            return target
        if waited > LATE_WAIT_SECONDS:
            return target
        await asyncio.sleep(
            LATE_POLL_SECONDS * tries.forwarder.rng.uniform(0.5, 1)
        )
