"""Clocks of the system that follow the virtual time of the event loop."""

import asyncio
import contextlib
import time
from collections.abc import Iterator
from unittest import mock

from ragwortcourse import clock


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
