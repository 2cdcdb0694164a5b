"""Suspension of a daemon whose tasks run in the event loop of a test."""

import asyncio
import types
from collections.abc import Callable, Coroutine, Generator
from typing import Any, TypeVar

Result = TypeVar('Result')


class Suspension:
    """Switch that holds the tasks and the input of one daemon.

    Datagrams that arrive meanwhile are delivered before its tasks go on, as
    an event loop reads its sockets before it runs what is due.
    """

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()
        self._held: list[Callable[[], None]] = []

    def suspend(self) -> None:
        """Hold the daemon."""
        self._running.clear()

    def resume(self) -> None:
        """Let the daemon go on."""
        held, self._held = self._held, []
        self._running.set()
        for deliver in held:
            deliver()

    def deliver(self, deliver: Callable[[], None]) -> None:
        """Deliver input, at the end of the suspension."""
        if self._running.is_set():
            deliver()
        else:
            self._held.append(deliver)

    async def wait(self) -> None:
        """Wait until the daemon runs."""
        await self._running.wait()

    async def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine that neither starts nor goes on while suspended."""
        await self.wait()
        return await self.drive(work)

    @types.coroutine
    def drive(
        self, work: Coroutine[Any, Any, Result]
    ) -> Generator[Any, Any, Result]:
        """Run a coroutine that makes no progress while suspended."""
        resume: Callable[[], Any] = lambda: work.send(None)  # noqa: E731
        while True:
            try:
                waited = resume()
            except StopIteration as end:
                returned: Result = end.value
                return returned
            resume = yield from self._await(waited, work)

    def _await(
        self, waited: Any, work: Coroutine[Any, Any, Result]
    ) -> Generator[Any, Any, Callable[[], Any]]:
        failure: BaseException | None = None
        try:
            yield waited
        except (Exception, asyncio.CancelledError) as error:
            failure = error
        if not self._running.is_set() and not isinstance(
            failure, asyncio.CancelledError
        ):
            try:
                yield from self._running.wait().__await__()
            except asyncio.CancelledError as error:
                failure = error
        if failure is None:
            return lambda: work.send(None)
        return lambda: work.throw(failure)
