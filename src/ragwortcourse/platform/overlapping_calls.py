"""Calls that overlap while none of them is answered.

Load pattern: a way is cut without a reset. A call that was sent before the end
of the cut is never answered, and a slow server needs all of the time limit, so
that calls one after the other notice the end late. Over a line that is full,
each further call would add a copy of the answer that the line is busy with.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ragwortcourse.forwarding.fleet_state import read_boot_clock

Answer = TypeVar('Answer')


NoteArriving = Callable[[], None]


async def call_overlapping(
    call: Callable[[NoteArriving], Awaitable[Answer]], *, every: float
) -> tuple[Answer, float]:
    """Send calls until the first of them ends, and cancel the others.

    Each call has a time limit of its own. No further one is sent once an
    answer arrives.

    :param call: takes a function to call once the head of its answer is here.
    :param every: seconds between two calls.
    :return: the result of that call, and the seconds after which it was sent.
    """
    began_at = read_boot_clock()
    sent_after: dict[asyncio.Future[Answer], float] = {}
    arriving = asyncio.Event()
    try:
        while True:
            if not arriving.is_set():
                sent = asyncio.ensure_future(call(arriving.set))
                sent_after[sent] = read_boot_clock() - began_at
            done, _ = await asyncio.wait(
                sent_after, timeout=every, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                ended = done.pop()
                return ended.result(), sent_after[ended]
    finally:
        for each in sent_after:
            each.cancel()
