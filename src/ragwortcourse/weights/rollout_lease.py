"""Roll-out leases that limit how many targets change at the same time."""

import asyncio
import logging
import random
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import DeploymentName, TargetName
from ragwortcourse.storage.row_change import replace_row
from ragwortcourse.storage.table import (
    Committed,
    Row,
    RowRead,
    TableKey,
    TableService,
)
from ragwortcourse.unreadable import UnreadableError
from ragwortcourse.weights.order_lease import TOKEN_BITS

# A change that takes longer loses the lease.
LEASE_SECONDS: Final = 120.0
SHORTEST_POLL_SECONDS: Final = 1.0
LONGEST_POLL_SECONDS: Final = 3.0

LOGGER: Final = logging.getLogger(__name__)


class RolloutLeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Holder of one of the roll-out leases; a free lease has no row."""

    target: TargetName
    token: str


class RolloutLease:
    """One of a deployment's roll-out leases.

    A deployment has as many leases as its batch size. A lease expires when
    its row has not changed for ``LEASE_SECONDS`` on the waiting agent's clock.
    """

    def __init__(
        self,
        *,
        table: TableService,
        target: TargetName,
        deployment: DeploymentName,
        batch: int,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._deployment = deployment
        self._batch = batch
        self._rng = rng
        self._row = RolloutLeaseRow(
            target=target, token=f'{rng.getrandbits(TOKEN_BITS):016x}'
        )
        self._seen: dict[TableKey, tuple[int, float]] = {}
        self._key: TableKey | None = None
        self._lapses_at = float('-inf')

    def is_held(self) -> bool:
        """Return whether the target may change now."""
        if self._key is None:
            return False
        # Others count the time for which this host was suspended.
        return read_clock_with_suspend() < self._lapses_at

    async def acquire(self) -> None:
        """Wait until this target holds a lease."""
        while True:
            if await self._try_each():
                return
            wait = self._rng.uniform(
                SHORTEST_POLL_SECONDS, LONGEST_POLL_SECONDS
            )
            await asyncio.sleep(wait)

    async def release(self) -> None:
        """Release the lease."""
        key = self._key
        self._key = None
        if key is None:
            return
        answer = await self._table.read(key)
        if isinstance(answer, RowRead) and self._is_own(answer.row):
            await self._write(key, answer.row, None)

    async def _try_each(self) -> bool:
        numbers = list(range(self._batch))
        self._rng.shuffle(numbers)
        for number in numbers:
            key = TableKey(f'turns/{self._deployment}/{number}')
            if await self._try(key):
                return True
        return False

    async def _try(self, key: TableKey) -> bool:
        answer = await self._table.read(key)
        if not isinstance(answer, RowRead):
            return False
        if answer.row is not None and not self._may_take(answer.row):
            return False
        began = read_clock_with_suspend()
        content = msgspec.json.encode(self._row)
        if not await self._write(key, answer.row, content):
            return False
        self._key = key
        self._lapses_at = began + LEASE_SECONDS
        return True

    def _may_take(self, row: Row) -> bool:
        """Return whether a row is this target's or has expired."""
        if self._is_own(row):
            return True
        now = read_clock()
        version, since = self._seen.get(row.key, (0, now))
        if version != row.version:
            since = now
        self._seen[row.key] = (row.version, since)
        return now - since > LEASE_SECONDS

    def _is_own(self, row: Row | None) -> bool:
        """Return whether a row is this target's; an odd one is not."""
        if row is None:
            return False
        try:
            return decode_json(row.content, RolloutLeaseRow) == self._row
        except UnreadableError as error:
            LOGGER.warning(
                'unreadable row of a lease',
                extra={'row': row.key, 'detail': str(error)},
            )
            return False

    async def _write(
        self, key: TableKey, row: Row | None, content: bytes | None
    ) -> bool:
        outcome = await replace_row(self._table, key, row, content)
        return isinstance(outcome, Committed)
