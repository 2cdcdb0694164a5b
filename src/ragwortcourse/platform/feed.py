"""Follows one table of the platform's store."""

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Callable
from typing import Final, Protocol

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRow,
    StoreRows,
    StoreSilent,
)

# Between two calls while the store fails; half of it at random.
RETRY_SECONDS: Final = 0.25

# A connection that was reset is no lost store; the next call tells.
FAILURES_TO_LOSE: Final = 2

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableHandler:
    """What becomes of the rows of a table.

    :param replace: takes all rows there are, and for how many seconds
        changes may have stood there unread; infinite for the first ones.
    :param change: takes the rows that changed, and the same.
    :param confirm: takes the boot clock at which a call was sent whose
        answer leaves nothing newer unread.
    :param lose: called when two calls have failed one after the other.
    :param regain: called after a failure, before the rows of the first
        good answer are given out.
    """

    replace: Callable[[tuple[StoreRow, ...], float], None]
    change: Callable[[tuple[StoreRow, ...], float], None]
    confirm: Callable[[float], None]
    lose: Callable[[], None]
    regain: Callable[[], None]


class TableSource(Protocol):
    """What a feed asks for rows."""

    async def read_table(
        self, table: str
    ) -> StoreRows | HistoryGone | StoreSilent:
        """Every row of a table."""

    async def await_changes(
        self, table: str, revision: int, *, wait: float, known_at: float
    ) -> StoreRows | HistoryGone | StoreSilent:
        """Changes after a revision, or none after some seconds."""


class TableFeed:
    """Keeps a reader up to date with one table.

    :param wait: seconds that one call waits for a change; bounds the age
        of what the reader knows.
    :param pause: seconds between a change and the next call; changes that
        come together are then read together.
    """

    def __init__(
        self,
        *,
        store: TableSource,
        table: str,
        wait: float,
        reader: TableHandler,
        rng: random.Random,
        pause: float = 0,
    ) -> None:
        self._pause_after = pause
        self._store = store
        self._table = table
        self._wait = wait
        self._reader = reader
        self._rng = rng
        self._revision: int | None = None
        self._lost = False
        self._failures = 0
        self._known_at = -math.inf

    async def follow(self) -> None:
        """Ask for ever; a failed call is tried again after a pause."""
        while True:
            sent_at = read_boot_clock()
            answer = await self._ask()
            if isinstance(answer, StoreRows):
                self._take(answer, sent_at)
                if self._pause_after and answer.rows:
                    await asyncio.sleep(self._pause_after)
            elif isinstance(answer, HistoryGone):
                LOGGER.info(
                    'store forgot its history; reading the whole table',
                    extra={'table': self._table, 'revision': self._revision},
                )
                self._revision = None
            else:
                await self._pause(answer)

    async def _ask(self) -> StoreRows | HistoryGone | StoreSilent:
        if self._revision is None:
            return await self._store.read_table(self._table)
        return await self._store.await_changes(
            self._table,
            self._revision,
            wait=self._wait,
            known_at=self._known_at,
        )

    def _take(self, answer: StoreRows, sent_at: float) -> None:
        self._failures = 0
        if self._lost:
            self._lost = False
            LOGGER.info('store regained', extra={'table': self._table})
            self._reader.regain()
        if self._revision is None:
            unread = read_boot_clock() - self._known_at
            self._reader.replace(answer.rows, unread)
        elif answer.rows:
            self._reader.change(answer.rows, answer.rows_age)
        known_at = read_boot_clock() - answer.known_age
        self._known_at = max(self._known_at, known_at)
        self._revision = max(self._revision or 0, answer.revision)
        self._reader.confirm(sent_at + answer.delay - answer.age)

    async def _pause(self, answer: StoreSilent) -> None:
        if not self._lost:
            self._lost = True
            LOGGER.warning(
                'store lost',
                extra={'table': self._table, 'detail': answer.detail},
            )
        self._failures += 1
        if self._failures == FAILURES_TO_LOSE:
            self._reader.lose()
        await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1))
