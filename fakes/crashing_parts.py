"""Requests of which some share a part of their prompt that ends targets."""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final

import aiohttp

from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import LETTER, Arrival, ForwarderFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import TargetName

BAD_PART: Final = 'bad'
FIRST_PARTS: Final = ('f1', 'f2', 'f3', 'f4')
PROMPT: Final = 'ragwortcourse-prompt-prefix'
# A target reads a prompt for this long before it begins to write.
READ_SECONDS: Final = 0.2
EVENT_SECONDS: Final = 0.05
EVENTS: Final = 16
SEEN_SECONDS: Final = 2.5
SOUND_SECONDS: Final = 0.04
BAD_SECONDS: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sound:
    """One sound request, in seconds of the event loop.

    :ivar served: true if its answer arrived whole.
    """

    at: float
    served: bool


class CrashingParts:
    """Fleet whose targets end as they begin to write on one prompt part.

    :param framed: true if streams come in chunks, false if they end with
        their connection.
    """

    def __init__(self, *, framed: bool = True) -> None:
        self.sound: list[Sound] = []
        self._framed = framed
        self._rng = random.Random(1)
        self._numbers = itertools.count()
        self.fleet = ForwarderFleet(
            answer=self._answer, seen_seconds=SEEN_SECONDS, refuses=True
        )

    async def play(self, seconds: float) -> None:
        """Send sound and bad requests at steady rates to all forwarders."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_sound(seconds))
            tasks.create_task(self._send_bad(seconds))

    def count_bad(self, *, after: float) -> int:
        """Count the bad requests that reached targets later than a time."""
        return sum(
            arrival.at > after and _is_bad(arrival)
            for arrival in self.fleet.arrivals
        )

    def compute_served(self, *, after: float) -> float:
        """Compute the share of sound requests served of those sent later."""
        late = [each.served for each in self.sound if each.at > after]
        return sum(late) / len(late)

    async def ask(self, *parts: str) -> bool:
        """Send one request with a part of its own after the given ones.

        :return: true if the answer arrived whole.
        """
        number = next(self._numbers)
        daemon = self._rng.randrange(len(self.fleet.forwarders))
        ids = (*parts, f'{number:x}')
        prompt = ','.join(f'{part}:100' for part in ids)
        try:
            response = await self.fleet.ask(
                daemon, str(number).encode(), LETTER, {PROMPT: prompt}
            )
        except aiohttp.ClientError:
            return False
        return response.status == HTTPStatus.OK

    async def _send_sound(self, seconds: float) -> None:
        async with asyncio.TaskGroup() as tasks:
            async for _ in _tick(SOUND_SECONDS, seconds):
                tasks.create_task(self._ask_sound())

    async def _send_bad(self, seconds: float) -> None:
        async with asyncio.TaskGroup() as tasks:
            async for _ in _tick(BAD_SECONDS, seconds):
                tasks.create_task(self.ask(FIRST_PARTS[0], BAD_PART))

    async def _ask_sound(self) -> None:
        sent_at = read_clock()
        served = await self.ask(self._rng.choice(FIRST_PARTS))
        self.sound.append(Sound(at=sent_at, served=served))

    async def _answer(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        """Stream events, until the target ends."""
        target = TargetName(received.headers['ragwortcourse-expect-instance'])
        await asyncio.sleep(READ_SECONDS)
        if target in self.fleet.down:
            return
        await connection.begin(
            received,
            content_type='text/event-stream',
            # An empty value omits the header.
            transfer_encoding='chunked' if self._framed else '',
        )
        for number in range(EVENTS):
            await self._send_event(connection, number)
            if _is_bad(received):
                await self.fleet.end_target(target)
            if target in self.fleet.down:
                if not self._framed:
                    connection.close()
                return
            await asyncio.sleep(EVENT_SECONDS)
        if self._framed:
            await connection.send(b'0\r\n\r\n')

    async def _send_event(
        self, connection: ScriptedConnection, number: int
    ) -> None:
        if self._framed:
            await connection.send_events(number, number + 1)
        else:
            await connection.send(f'id: {number}\ndata: word\n\n'.encode())


def _is_bad(received: Received | Arrival) -> bool:
    return f'{BAD_PART}:' in received.headers[PROMPT]


async def _tick(every: float, seconds: float) -> AsyncIterator[float]:
    ends_at = read_clock() + seconds
    while read_clock() < ends_at:
        yield read_clock()
        await asyncio.sleep(every)
