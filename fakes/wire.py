"""In-process network with partitions and frozen or killed hosts."""

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
# Time until a daemon notices that its peer has closed a connection.
DISCONNECT_SECONDS: Final = 0.25
NEAR_SECONDS: Final = 0.0005
FAR_SECONDS: Final = 0.001
BODY_PIECES: Final = 4

_Answer = TypeVar('_Answer')


class Host:
    """One host and the tasks that run on it.

    :ivar address: ``name:port`` at which others reach its daemon.
    :ivar thawed: cleared while the host is frozen.
    """

    def __init__(self, *, name: str, failure_domain: str) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.address = f'{name}:1'
        self.alive = True
        self.thawed = asyncio.Event()
        self.thawed.set()
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(
        self, work: Coroutine[Any, Any, _Answer]
    ) -> asyncio.Task[_Answer]:
        """Run a task on this host; it is cancelled with the host."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def kill(self) -> None:
        """Kill the host and cancel every task on it."""
        self.alive = False
        self.thawed.set()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unreached:
    """The message was not delivered and never will be."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lost:
    """The message may have been delivered; no answer arrived."""


class InProcessNetwork:
    """Network between hosts: delays, partitions and delivery.

    :param rng: source of jitter for message delays.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.hosts: dict[str, Host] = {}
        self.cuts: set[frozenset[str]] = set()
        self._rng = rng
        self._changed = asyncio.Event()

    def add(self, host: Host) -> None:
        """Connect a host; it replaces a host at the same address."""
        self.hosts[host.address] = host

    def cut(self, one: str, other: str) -> None:
        """Partition two failure domains from each other."""
        self.cuts.add(frozenset((one, other)))
        self.announce()

    def heal(self) -> None:
        """End every partition."""
        self.cuts.clear()

    def announce(self) -> None:
        """Wake waiting senders so that they notice a broken connection."""
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def passes(self, sender: Host, receiver: Host) -> bool:
        """Return whether messages pass between two hosts now."""
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
        work: Callable[[], Coroutine[Any, Any, _Answer]],
    ) -> _Answer | Unreached | Lost:
        """Run work on the host at an address and return its answer.

        :raises asyncio.CancelledError: the sender was cancelled; the
            receiver notices later.
        """
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
            answer = await self._wait_for(task, sender, receiver)
        except asyncio.CancelledError:
            self._cancel_after_disconnect(receiver, task)
            raise
        if isinstance(answer, Lost):
            self._cancel_after_disconnect(receiver, task)
            return answer
        await self._delay(sender, receiver)
        if self.passes(sender, receiver):
            return answer
        return Lost()

    def relay(
        self, sender: Host, address: str, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        """Stream the body of an answer over the network."""
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
                self._cancel_after_disconnect(receiver, pump)

    async def _deliver(
        self, receiver: Host, work: Callable[[], Awaitable[_Answer]]
    ) -> _Answer:
        await receiver.thawed.wait()
        return await work()

    async def _wait_for(
        self,
        task: asyncio.Future[_Answer],
        sender: Host,
        receiver: Host,
    ) -> _Answer | Lost:
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

    def _cancel_after_disconnect(
        self, receiver: Host, task: asyncio.Future[Any]
    ) -> None:
        """Cancel a task once the receiver notices the disconnect."""

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
    """Read an answer on the host that produces it.

    :param pieces: queue of the pieces; none marks their end.
    :raises AnswerBrokenError: the answer is truncated.
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
