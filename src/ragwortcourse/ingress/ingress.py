"""Connections of all clients of a process, and the bounds on them."""

import asyncio
import itertools
import logging
from collections.abc import Callable
from typing import Final

from opentelemetry.metrics import get_meter

from ragwortcourse.clock import read_clock
from ragwortcourse.ingress.byte_budget import ByteBudget
from ragwortcourse.ingress.client_limits import ClientLimits
from ragwortcourse.ingress.connection import CONNECTION_BYTES, Connection
from ragwortcourse.ingress.connection_cost import choose_costliest
from ragwortcourse.ingress.overdue import find_overdue
from ragwortcourse.ingress.phase import Phase
from ragwortcourse.ingress.refusals import BUDGET_SPENT, DESCRIPTORS_USED, GONE

CHECK_SECONDS: Final = 0.25
# Pause after a search that found no connection to close. Each search looks at
# all connections, and many claims may fail at the same time.
SEARCH_PAUSE_SECONDS: Final = 0.05
# Time for a client to read its refusal before the connection is aborted.
CLOSING_SECONDS: Final = 5.0
# Share of the connections above which the daemon reports not ready, if those
# have requests.
CROWDED_SHARE: Final = 0.9
# Connections beyond the bound while others are being closed.
ENDING_SHARE: Final = 1.1
CROWDED: Final = 'connections of clients in use'

LOGGER: Final = logging.getLogger(__name__)
ENDED: Final = get_meter(__name__).create_counter(
    'ragwortcourse.ingress.ended',
    description='requests and connections ended by a bound, by cause',
)


class Ingress:
    """Connections of clients that share one budget.

    :param read_limits: reads the limits of the desired state in force.
    :param read_most: reads how many connections may be open.
    """

    def __init__(
        self,
        *,
        budget: ByteBudget,
        read_limits: Callable[[], ClientLimits],
        read_most: Callable[[], int],
    ) -> None:
        self.budget = budget
        self.connections: dict[int, Connection] = {}
        self._read_limits = read_limits
        self._read_most = read_most
        self._numbers = itertools.count()
        self._overdue: set[int] = set()
        self._search_again_at: float = 0

    def admit(
        self, *, client: str, close: Callable[[Phase], None], is_limited: bool
    ) -> Connection | None:
        """Admit a new connection; none if there is no room for it."""
        connection = Connection(
            number=next(self._numbers),
            client=client,
            budget=self.budget,
            find_room=self._find_room,
            close=close,
            is_limited=is_limited,
        )
        if not self._free_descriptor():
            note_ended(DESCRIPTORS_USED, connection)
            return None
        if not connection.hold(CONNECTION_BYTES):
            note_ended(BUDGET_SPENT, connection)
            return None
        self.connections[connection.number] = connection
        if is_limited:
            connection.limits = self._read_limits()
        return connection

    def forget(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.connections.pop(connection.number, None)
        connection.release(connection.held)
        connection.begin_closing(GONE)

    def find_unready_reason(self) -> str | None:
        """Return why new connections would not be answered; none if so."""
        busy = sum(
            each.phase not in {Phase.IDLE, Phase.HEAD, Phase.CLOSING}
            for each in self.connections.values()
        )
        return CROWDED if busy > self._read_most() * CROWDED_SHARE else None

    async def run(self) -> None:
        """Apply the limits on time until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.check()

    def check(self) -> None:
        """End the connections that have been overdue at two checks.

        After a suspension the first check finds connections overdue whose
        bytes wait in the kernel.
        """
        now = read_clock()
        limits = self._read_limits()
        overdue: set[int] = set()
        for connection in tuple(self.connections.values()):
            if connection.is_limited:
                connection.limits = limits
            if now - connection.since > CLOSING_SECONDS and (
                connection.phase is Phase.CLOSING
            ):
                connection.abort()
            cause = find_overdue(connection, now)
            if cause is None:
                continue
            if connection.number in self._overdue:
                self._end(connection, cause)
            overdue.add(connection.number)
        self._overdue = overdue
        # A connection that stalls may be closed from some time on.
        self.budget.wake()

    def _end(self, connection: Connection, cause: str) -> None:
        note_ended(cause, connection)
        connection.end(cause)

    def _find_room(self, claimant: Connection, size: int) -> bool:
        now = read_clock()
        if now < self._search_again_at:
            return False
        costs = [
            each.describe(now)
            for each in self.connections.values()
            if each is not claimant
        ]
        chosen = choose_costliest(
            costs,
            client=claimant.client,
            needed=self.budget.count_lacking(
                size, is_small=claimant.is_small(size)
            ),
            total=self.budget.total,
        )
        for number in chosen:
            self._end(self.connections[number], BUDGET_SPENT)
        if not chosen:
            self._search_again_at = now + SEARCH_PAUSE_SECONDS
        return bool(chosen)

    def _free_descriptor(self) -> bool:
        """Close the connection that waits longest for a request, if needed."""
        most = self._read_most()
        if len(self.connections) < most:
            return True
        waiting = [
            each
            for each in self.connections.values()
            if each.phase in {Phase.IDLE, Phase.HEAD, Phase.CLOSING}
        ]
        if not waiting:
            return False
        longest = min(waiting, key=_rank_waiting)
        if longest.phase is Phase.CLOSING:
            longest.abort()
        else:
            self._end(longest, DESCRIPTORS_USED)
        # A closed connection keeps its descriptor until a later turn of the
        # event loop; part of the reserve is for these.
        return len(self.connections) < most * ENDING_SHARE


def _rank_waiting(connection: Connection) -> tuple[int, float]:
    phases = (Phase.CLOSING, Phase.IDLE, Phase.HEAD)
    return phases.index(connection.phase), connection.moved_at


def note_ended(cause: str, connection: Connection) -> None:
    """Count and log the end of a connection by a bound."""
    ENDED.add(1, {'cause': cause})
    # The field `request` bounds the rate of the lines.
    LOGGER.info(
        'client beyond a bound',
        extra={
            'request': None,
            'cause': cause,
            'client': connection.client,
            'phase': connection.phase.value,
            'held': connection.held,
        },
    )
