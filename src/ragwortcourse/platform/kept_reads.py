"""Connections that are kept for reads of chunks from one engine.

Load pattern: a loader reads all staged chunks of its engine before each order,
twice a version, and a connection for each of them holds a slot of the engine.
An engine may send a second copy of an answer late, in the place of the next
answer on that connection. A copy of the answer for another chunk has another
digest, but an old answer for the same chunk would pass for the present one.
So no question is asked twice on connections that are kept together.
"""

import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

from aiohttp import ClientSession


@dataclasses.dataclass(slots=True, kw_only=True)
class KeptSession:
    """Session with the questions that were asked on its connections.

    :param users: calls in progress.
    """

    session: ClientSession
    asked: set[str] = dataclasses.field(default_factory=set)
    users: int = 0


class KeptReads:
    """Sessions for reads, replaced before a question is repeated.

    :param open_session: opens a session that keeps its connections.
    """

    def __init__(self, *, open_session: Callable[[], ClientSession]) -> None:
        self._open_session = open_session
        self._current: KeptSession | None = None

    @contextlib.asynccontextmanager
    async def use(self, question: str) -> AsyncIterator[ClientSession]:
        """Provide a session on which a question was not asked before."""
        former = self._current
        used = self._choose(question)
        used.asked.add(question)
        used.users += 1
        try:
            if former is not used:
                await _close_unused(former)
            yield used.session
        finally:
            used.users -= 1
            if used is not self._current:
                await _close_unused(used)

    async def close(self) -> None:
        """Close the connections; calls in progress close their own."""
        former = self._current
        self._current = None
        await _close_unused(former)

    def _choose(self, question: str) -> KeptSession:
        if self._current is None or question in self._current.asked:
            self._current = KeptSession(session=self._open_session())
        return self._current


async def _close_unused(kept: KeptSession | None) -> None:
    if kept is not None and not kept.users:
        await kept.session.close()
