"""Order of one daemon's calls to the origin.

Load pattern: while the origin is away or its link is full, chunks of several
versions come to wait. When the link carries again, the first chunks of a
model's newest version are what all its loaders wait for, and versions that
nobody asks for any more are not worth its time. Loaders have narrower links
than the origin, so models that wait at the same time take turns.
"""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from typing import NamedTuple

from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.model_version import ModelVersion


class WaitingCall(NamedTuple):
    """Call that waits for its turn.

    :param number: order in which the calls came.
    """

    version: ModelVersion
    chunk: int
    number: int
    turn: asyncio.Future[None]


class OriginTurns:
    """Limit of concurrent calls, which go to the waiting models in turn.

    Of one model, the newest version's first chunk is next.

    :param limit: calls at a time.
    """

    def __init__(self, *, limit: int) -> None:
        self._free = limit
        self._numbers = itertools.count()
        self._waiting: list[WaitingCall] = []
        # When each model last had a turn, in turns.
        self._last_turns: dict[ModelName, int] = {}

    @contextlib.asynccontextmanager
    async def take(
        self, version: ModelVersion, index: int
    ) -> AsyncIterator[None]:
        """Wait for the turn of a chunk, and hold it within the context."""
        if self._free:
            self._free -= 1
            self._note_turn(version.model)
        else:
            await self._wait(version, index)
        try:
            yield
        finally:
            self._pass_on()

    async def _wait(self, version: ModelVersion, index: int) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(
            WaitingCall(version, index, next(self._numbers), turn)
        )
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._pass_on()
            raise

    def _pass_on(self) -> None:
        """Give the turn to the first that still waits."""
        self._waiting = [call for call in self._waiting if not call.turn.done()]
        if not self._waiting:
            self._free += 1
            return
        following = min(self._waiting, key=self._rank)
        self._waiting.remove(following)
        self._note_turn(following.version.model)
        following.turn.set_result(None)

    def _rank(self, call: WaitingCall) -> tuple[int, int, int, int]:
        model, version = call.version
        last_turn = self._last_turns.get(model, -1)
        return last_turn, -version, call.chunk, call.number

    def _note_turn(self, model: ModelName) -> None:
        self._last_turns[model] = next(self._numbers)
