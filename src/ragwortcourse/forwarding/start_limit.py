"""Limit on the time for which a request waits at a target before it begins.

Load pattern: requests wait at loaded engines while a version of the weights is
announced, or another daemon corrects when it was. The bound that follows
holds for requests that were sent before it was known, too.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Final

from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.version_bounds import read_start_limit

# Bounds follow the announcement of a version by seconds.
CHECK_SECONDS: Final = 0.25


@contextlib.contextmanager
def keep_start_limit(
    forwarder: Forwarder, target: Target, wait: asyncio.Timeout
) -> Iterator[None]:
    """End the wait of a request sooner if its target's weights expire sooner.

    :param wait: time limit of the wait, entered already.
    """
    watching = asyncio.ensure_future(_watch(forwarder, target, wait))
    try:
        yield
    finally:
        watching.cancel()


async def _watch(
    forwarder: Forwarder, target: Target, wait: asyncio.Timeout
) -> None:
    while not wait.expired():
        await asyncio.sleep(CHECK_SECONDS)
        limit = read_start_limit(forwarder, target)
        if limit is not None and not wait.expired():
            known = wait.when()
            ends_at = asyncio.get_running_loop().time() + limit
            wait.reschedule(ends_at if known is None else min(known, ends_at))
