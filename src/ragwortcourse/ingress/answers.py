"""Bytes of answers that clients have not taken yet.

Load pattern: clients send small requests with long answers and read none of
them. What a target sent meanwhile would be held for each of them.
"""

from typing import Final

from aiohttp import web

from ragwortcourse.ingress.phase import Phase
from ragwortcourse.ingress.request_guard import CURRENT

# A whole answer, and the copy that is being sent.
ANSWER_COPIES: Final = 2
# Events that are written at once are not held.
SMALL_EVENTS_BYTES: Final = 4096
# Buffers of a stream whose caller reads slowly: of the connections to the
# caller and to the target.
STREAM_BYTES: Final = 262_144


async def hold_answer(size: int) -> None:
    """Wait until there is room for bytes of a whole answer, then hold them.

    They are held until the request ends.

    :raises ReadingEndedError: the connection is being closed.
    """
    connection = CURRENT.get()
    if connection is not None:
        await connection.hold_later(size * ANSWER_COPIES)


async def write_events(
    request: web.Request, response: web.StreamResponse, events: bytes
) -> None:
    """Write events, and hold them while the client does not take them.

    :raises ReadingEndedError: the connection is being closed.
    """
    connection = CURRENT.get()
    transport = request.transport
    if connection is None or transport is None:
        await response.write(events)
        return
    is_taken = not transport.get_write_buffer_size()
    if is_taken and len(events) <= SMALL_EVENTS_BYTES:
        await response.write(events)
        return
    held = len(events) * ANSWER_COPIES + STREAM_BYTES
    await connection.hold_later(held)
    connection.enter(Phase.ANSWER)
    try:
        await response.write(events)
    finally:
        connection.enter(Phase.RUNNING)
        connection.release(held)
