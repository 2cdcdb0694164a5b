"""State and cost of one client's connection."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.ingress.byte_budget import ByteBudget
from ragwortcourse.ingress.client_limits import NO_LIMITS, ClientLimits
from ragwortcourse.ingress.connection_cost import ConnectionCost
from ragwortcourse.ingress.phase import Phase

# Measured for connections without a request: parser, task and buffers.
CONNECTION_BYTES: Final = 16_384
# Part of the budget that one body may have; it is held twice for a time.
BODY_SHARE: Final = 0.4
# Bytes held for a request of the usual size, with its copies.
SMALL_BYTES: Final = 131_072


class ReadingEndedError(TimeoutError):
    """The body is not read any further."""


class Connection:
    """One connection of a client, and what is held for it.

    ``cause`` says why the connection is being closed.

    :param number: identifies the connection in this process.
    :param client: address of the client.
    :param find_room: closes others so that a claim fits, or returns false.
    :param close: closes the connection in a way that fits its phase.
    :param is_limited: true if the limits of the desired state apply.
    """

    def __init__(
        self,
        *,
        number: int,
        client: str,
        budget: ByteBudget,
        find_room: Callable[['Connection', int], bool],
        close: Callable[[Phase], None],
        is_limited: bool,
    ) -> None:
        self.number = number
        self.client = client
        self.is_limited = is_limited
        self.limits: ClientLimits = NO_LIMITS
        self.phase = Phase.IDLE
        self.since = read_clock()
        self.moved_at = self.since
        self.moved = 0
        self.held = 0
        self.cause = ''
        self._budget = budget
        self._find_room = find_room
        self._close = close
        self._reading: asyncio.Timeout | None = None

    @property
    def most_body_bytes(self) -> float:
        """Size of the largest body that is read."""
        return min(self.limits.body_bytes, self._budget.total * BODY_SHARE)

    def enter(self, phase: Phase) -> None:
        """Begin a phase, unless the connection is being closed."""
        if self.phase is not Phase.CLOSING:
            self.phase = phase
            self.since = read_clock()
            self.moved_at = self.since
            self.moved = 0

    def note_moved(self, size: int) -> None:
        """Record that the client sent or took some bytes."""
        self.moved += size
        self.moved_at = read_clock()

    def hold(self, size: int) -> bool:
        """Claim more bytes; false if there is no room for them."""
        if self.phase is Phase.CLOSING:
            return False
        is_small = self.is_small(size)
        is_free = self._budget.claim(size, is_small=is_small)
        if not is_free and self._find_room(self, size):
            is_free = self._budget.claim(size, is_small=is_small)
        if is_free:
            self.held += size
        return is_free

    def is_small(self, size: int) -> bool:
        """Tell whether the connection holds little, with a further claim."""
        return self.held + size <= SMALL_BYTES

    def release(self, size: int) -> None:
        """Return bytes that were claimed."""
        freed = min(size, self.held)
        self.held -= freed
        if self.phase is Phase.CLOSING:
            self._budget.ending -= freed
        self._budget.release(freed)

    def release_to(self, size: int) -> None:
        """Return what is held beyond some bytes."""
        self.release(max(self.held - size, 0))

    async def hold_later(self, size: int) -> None:
        """Claim more bytes, and wait until there is room for them.

        :raises ReadingEndedError: the connection is being closed.
        """
        while not self.hold(size):
            if self.phase is Phase.CLOSING:
                raise ReadingEndedError(self.cause)
            await self._budget.wait_freed()

    def begin_closing(self, cause: str) -> None:
        """Count what is held as ending, as the connection is being closed."""
        if self.phase is not Phase.CLOSING:
            self.enter(Phase.CLOSING)
            self.cause = cause
            self._budget.ending += self.held

    def end(self, cause: str) -> None:
        """Close the connection, or end the reading of a body."""
        former = self.phase
        if former is Phase.CLOSING:
            return
        self.begin_closing(cause)
        if self._reading is None:
            self._close(former)
        elif not self._reading.expired():
            self._reading.reschedule(read_clock())

    def abort(self) -> None:
        """Close the connection at once, without what it has not taken."""
        self._close(Phase.CLOSING)

    @contextlib.asynccontextmanager
    async def open_reading(self) -> AsyncIterator[None]:
        """Open the scope in which a body is read; :meth:`end` ends it.

        :raises ReadingEndedError: the connection is to be closed.
        """
        scope = asyncio.timeout(None)
        self._reading = scope
        try:
            async with scope:
                yield
        except TimeoutError as error:
            if scope.expired():
                raise ReadingEndedError(self.cause) from error
            raise
        finally:
            self._reading = None

    def describe(self, now: float) -> ConnectionCost:
        """Describe what the connection costs."""
        return ConnectionCost(
            number=self.number,
            client=self.client,
            phase=self.phase,
            held=self.held,
            seconds=now - self.since,
            still_seconds=now - self.moved_at,
            moved=self.moved,
        )
