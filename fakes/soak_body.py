"""Bodies of the requests of a soak, each derived from its attempt id."""

import asyncio
import random
from collections.abc import AsyncIterator

SIZES = (0, 300, 6000, 150_000, 600_000)
PIECE_BYTES = 16_384
# Share of bodies that arrive slowly.
SLOW_SHARE = 0.15
SLOW_SECONDS = 0.03
# Share of bodies that are sent in one write with their head.
WHOLE_SHARE = 0.3


def make_body(attempt: str) -> bytes:
    """Build the body of a request; some are empty."""
    size = random.Random(attempt).choice(SIZES)
    return (attempt.encode() * (size // len(attempt) + 1))[:size]


async def send_body(attempt: str) -> AsyncIterator[bytes]:
    """Yield the body in pieces, at once, or with pauses if it is slow."""
    body = make_body(attempt)
    pace = random.Random(f'{attempt} pace').random()
    if pace > 1 - WHOLE_SHARE:
        yield body
        return
    for begin in range(0, len(body), PIECE_BYTES):
        await asyncio.sleep(SLOW_SECONDS if pace < SLOW_SHARE else 0)
        yield body[begin : begin + PIECE_BYTES]
