"""Messages between in-process hosts, with cuts, freezes and deaths."""

import asyncio
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any, Final, TypeVar

from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    AttemptAnswer,
    AttemptOutcome,
)

CONNECT_SECONDS: Final = 0.5
# Until a daemon notices that the other end of a connection has gone.
DISCONNECT_SECONDS: Final = 0.25
NEAR_SECONDS: Final = 0.0005
FAR_SECONDS: Final = 0.001
BODY_PIECES: Final = 4

_Told = TypeVar('_Told')


class Host:
    """One host and the tasks that run on it.

    :param address: ``ip:port`` by which others reach its daemon.
    """

    def __init__(self, *, name: str, failure_domain: str) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.address = f'{name}:1'
        self.alive = True
        self.thawed = asyncio.Event()
        self.thawed.set()
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, _Told]) -> asyncio.Task[_Told]:
        """Run work on this host; it ends with the host."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def kill(self) -> None:
        """End the host at once, with everything on it."""
        self.alive = False
        self.thawed.set()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unreached:
    """The message was never delivered, and never will be."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lost:
    """The message may have been delivered; no answer came."""


class Wire:
    """Which hosts reach each other, and what happens to messages.

    :param rng: spreads the time that messages take.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.hosts: dict[str, Host] = {}
        self.cuts: set[frozenset[str]] = set()
        self._rng = rng
        self._changed = asyncio.Event()

    def add(self, host: Host) -> None:
        """Connect a host, in place of one at the same address."""
        self.hosts[host.address] = host

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two failure domains."""
        self.cuts.add(frozenset((one, other)))
        self.announce()

    def heal(self) -> None:
        """Let everything pass again."""
        self.cuts.clear()

    def announce(self) -> None:
        """Let those who wait see that something broke."""
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def passes(self, sender: Host, receiver: Host) -> bool:
        """Tell whether messages pass between two hosts now."""
        if not (sender.alive and receiver.alive):
            return False
        if sender.failure_domain == receiver.failure_domain:
            return True
        pair = frozenset((sender.failure_domain, receiver.failure_domain))
        return pair not in self.cuts

    async def carry(
        self,
        sender: Host,
        address: str,
        work: Callable[[], Coroutine[Any, Any, _Told]],
    ) -> _Told | Unreached | Lost:
        """Have work done at the host of an address, and its answer."""
        receiver = self.hosts.get(address)
        if receiver is None or not receiver.alive:
            await self._delay(sender, receiver)
            return Unreached()
        if not self.passes(sender, receiver):
            await asyncio.sleep(CONNECT_SECONDS)
            return Unreached()
        await self._delay(sender, receiver)
        task = receiver.spawn(self._deliver(receiver, work))
        try:
            told = await self._wait_for(task, sender, receiver)
        except asyncio.CancelledError:
            self._hang_up(receiver, task)
            raise
        if isinstance(told, Lost):
            self._hang_up(receiver, task)
            return told
        await self._delay(sender, receiver)
        if self.passes(sender, receiver):
            return told
        return Lost()

    def relay(
        self, sender: Host, address: str, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        """An answer whose body crosses the wire piece by piece."""
        receiver = self.hosts[address]
        if not isinstance(outcome, AttemptAnswer):
            return outcome
        body = self._relay_body(sender, receiver, outcome)
        return dataclasses.replace(outcome, body=body)

    async def _relay_body(
        self, sender: Host, receiver: Host, answer: AttemptAnswer
    ) -> AsyncIterator[bytes]:
        pieces: asyncio.Queue[bytes | None] = asyncio.Queue(BODY_PIECES)
        pump = receiver.spawn(pump_body(receiver, answer, pieces))
        try:
            while True:
                get = asyncio.ensure_future(pieces.get())
                piece = await self._wait_for(get, sender, receiver)
                if isinstance(piece, Lost):
                    get.cancel()
                    raise AnswerBrokenError('the connection broke')
                if piece is None:
                    break
                yield piece
            await pump
        finally:
            if not pump.done():
                self._hang_up(receiver, pump)

    async def _deliver(
        self, receiver: Host, work: Callable[[], Awaitable[_Told]]
    ) -> _Told:
        await receiver.thawed.wait()
        return await work()

    async def _wait_for(
        self,
        task: asyncio.Future[_Told],
        sender: Host,
        receiver: Host,
    ) -> _Told | Lost:
        while not task.done():
            if not self.passes(sender, receiver):
                return Lost()
            changed = asyncio.ensure_future(self._changed.wait())
            try:
                await asyncio.wait(
                    (task, changed), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                changed.cancel()
        if task.cancelled():
            return Lost()
        return task.result()

    def _hang_up(self, receiver: Host, task: asyncio.Future[Any]) -> None:
        """Let the receiver notice a while later that the sender has gone."""

        async def notice() -> None:
            await asyncio.sleep(DISCONNECT_SECONDS)
            task.cancel()

        if receiver.alive:
            receiver.spawn(notice())

    async def _delay(self, sender: Host, receiver: Host | None) -> None:
        near = receiver is not None and (
            sender.failure_domain == receiver.failure_domain
        )
        usual = NEAR_SECONDS if near else FAR_SECONDS
        await asyncio.sleep(usual * self._rng.uniform(1, 2))


async def pump_body(
    receiver: Host, answer: AttemptAnswer, pieces: asyncio.Queue[bytes | None]
) -> None:
    """Read an answer on the host that gives it.

    :raises AnswerBrokenError: the answer ends short.
    """
    try:
        async for piece in answer.body:
            await receiver.thawed.wait()
            await pieces.put(piece)
    finally:
        close = getattr(answer.body, 'aclose', None)
        if close is not None:
            await close()
        receiver.spawn(pieces.put(None))
