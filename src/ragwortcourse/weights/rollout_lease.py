"""Turns in a roll-out: how many targets change version at the same time."""

import asyncio
import random
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DeploymentName, TargetName
from ragwortcourse.storage.row_change import replace_row
from ragwortcourse.storage.table import (
    Committed,
    Row,
    RowRead,
    TableKey,
    TableService,
)
from ragwortcourse.weights.order_lease import TOKEN_BITS

# A change of version that takes longer loses its turn.
TURN_SECONDS: Final = 120.0
SHORTEST_POLL_SECONDS: Final = 1.0
LONGEST_POLL_SECONDS: Final = 3.0


class RolloutLeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Who has one of the turns; no row means that it is free."""

    target: TargetName
    token: str


class RolloutLease:
    """One of a deployment's turns, as many as its batch.

    A turn whose holder died is seen by its row not changing for the time of
    a turn, by the waiting side's own clock.
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
        """Tell whether the target may change now."""
        return self._key is not None and read_clock() < self._lapses_at

    async def acquire(self) -> None:
        """Return when this target has a turn."""
        while True:
            if await self._try_each():
                return
            wait = self._rng.uniform(
                SHORTEST_POLL_SECONDS, LONGEST_POLL_SECONDS
            )
            await asyncio.sleep(wait)

    async def release(self) -> None:
        """Let another target have the turn."""
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
        began = read_clock()
        content = msgspec.json.encode(self._row)
        if not await self._write(key, answer.row, content):
            return False
        self._key = key
        self._lapses_at = began + TURN_SECONDS
        return True

    def _may_take(self, row: Row) -> bool:
        """Tell whether a row is the own one, or its holder must be gone."""
        if self._is_own(row):
            return True
        now = read_clock()
        version, since = self._seen.get(row.key, (0, now))
        if version != row.version:
            since = now
        self._seen[row.key] = (row.version, since)
        return now - since > TURN_SECONDS

    def _is_own(self, row: Row | None) -> bool:
        if row is None:
            return False
        return (
            msgspec.json.decode(row.content, type=RolloutLeaseRow) == self._row
        )

    async def _write(
        self, key: TableKey, row: Row | None, content: bytes | None
    ) -> bool:
        outcome = await replace_row(self._table, key, row, content)
        return isinstance(outcome, Committed)
