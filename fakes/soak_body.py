"""Bodies of the requests of a soak, each derived from its attempt id."""

import asyncio
import random
from collections.abc import AsyncIterator

SIZES = (0, 300, 6000, 150_000)
PIECE_BYTES = 16_384
# Share of bodies that arrive slowly.
SLOW_SHARE = 0.15
SLOW_SECONDS = 0.03


def make_body(attempt: str) -> bytes:
    """Build the body of a request; some are empty."""
    size = random.Random(attempt).choice(SIZES)
    return (attempt.encode() * (size // len(attempt) + 1))[:size]


async def send_body(attempt: str) -> AsyncIterator[bytes]:
    """Yield the body in pieces, with pauses if it is a slow one."""
    body = make_body(attempt)
    is_slow = random.Random(f'{attempt} pace').random() < SLOW_SHARE
    for begin in range(0, len(body), PIECE_BYTES):
        await asyncio.sleep(SLOW_SECONDS if is_slow else 0)
        yield body[begin : begin + PIECE_BYTES]
