"""Waits for conditions in tests that run in real time."""

import asyncio
from collections.abc import Callable

WAIT_SECONDS = 10.0
POLL_SECONDS = 0.01


async def wait_for(check: Callable[[], object]) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: it does not hold within ``WAIT_SECONDS``.
    """
    async with asyncio.timeout(WAIT_SECONDS):
        while not check():
            await asyncio.sleep(POLL_SECONDS)
