"""Monotonic time, the same for real and for virtual event loops."""

import asyncio


def read_clock() -> float:
    """Monotonic seconds of the running event loop."""
    return asyncio.get_running_loop().time()
