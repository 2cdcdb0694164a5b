"""Clocks of the system that follow the virtual time of the event loop."""

import asyncio
import contextlib
import time
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar
from unittest import mock

import looptime

from ragwortcourse import clock

Result = TypeVar('Result')


@contextlib.contextmanager
def follow_loop() -> Iterator[None]:
    """Let the clocks that count suspension read the time of the loop."""

    def read(clock_id: int) -> float:
        return asyncio.get_running_loop().time()

    with (
        mock.patch.object(time, 'clock_gettime', read),
        mock.patch.object(clock.SuspensionMeter, 'read', return_value=0.0),
    ):
        yield


def run_in_virtual_time(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in an event loop of its own, in virtual time."""
    # Nothing waits for real input, so no turns are spent on it.
    loop = looptime.new_event_loop(noop_cycles=0)
    try:
        with follow_loop():
            returned: Result = loop.run_until_complete(work)
    finally:
        loop.close()
    return returned
