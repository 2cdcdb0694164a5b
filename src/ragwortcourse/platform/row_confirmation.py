"""Confirmation of cached rows by the store, on demand of other daemons.

Load pattern: all daemons of a failure domain find at one moment that the rows
of their reader are old. The reader asks the store once for all of them.
"""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Final

from opentelemetry.metrics import get_meter

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import StorePosition
from ragwortcourse.platform.store_row import Answer, StoreRows

# Less than daemons wait for an answer that is due.
CONFIRM_SECONDS: Final = 0.3
# Shortest time between two calls for rows that this daemon itself needs.
RETRY_SECONDS: Final = 0.5

CONFIRMATIONS: Final = get_meter(__name__).create_counter(
    'ragwortcourse.forwarding.row_confirmations'
)
LOGGER: Final = logging.getLogger(__name__)


class RowConfirmation:
    """Confirms the rows of a cache by a call beside the one that waits.

    :param table: table of the rows.
    """

    def __init__(self, *, store: Store, cache: RowCache, table: str) -> None:
        self._store = store
        self._cache = cache
        self._table = table
        self._running: asyncio.Task[None] | None = None

    async def confirm(self) -> None:
        """Ask the store for changes, or wait for a call that is under way.

        The rows of the cache remain as old as they are if it does not answer
        in time.
        """
        if self._running is None:
            self._running = asyncio.create_task(self._run())
            self._running.add_done_callback(self._forget)
        await asyncio.shield(self._running)

    async def await_answer(
        self,
        call: Coroutine[Any, Any, Answer],
        after: StorePosition,
        *,
        longest_age: float,
    ) -> Answer:
        """Await a call for changes, and confirm the rows while it waits.

        A call whose answer was lost ends only at its time limit.

        :param after: position after which the call asks for changes.
        :param longest_age: seconds since the call was sent, and age of the
            rows, above which they are confirmed.
        :return: the answer of the call, or changes that were found before.
        """
        waiting = asyncio.ensure_future(call)
        due_at = read_boot_clock() + longest_age
        try:
            while not waiting.done():
                found = self._cache.list_after(after)
                if isinstance(found, StoreRows) and found.rows:
                    return found
                await self._await_change(waiting, due_at - read_boot_clock())
                if not waiting.done() and read_boot_clock() >= due_at:
                    due_at = await self._confirm_old(longest_age)
            return await waiting
        finally:
            waiting.cancel()

    async def _await_change(
        self, waiting: asyncio.Future[Answer], seconds: float
    ) -> None:
        """Wait until a call has ended, a row has changed or time is up."""
        change = asyncio.ensure_future(self._cache.await_change(seconds))
        try:
            await asyncio.wait(
                (waiting, change), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            change.cancel()

    async def _confirm_old(self, longest_age: float) -> float:
        """Confirm the rows if they are old; return when to look again."""
        if read_boot_clock() >= self._cache.complete_at + longest_age:
            await self.confirm()
        return max(
            self._cache.complete_at + longest_age,
            read_boot_clock() + RETRY_SECONDS,
        )

    def _forget(self, _task: asyncio.Task[None]) -> None:
        self._running = None

    async def _run(self) -> None:
        position = self._cache.position
        if position is None:
            return
        is_confirmed = False
        try:
            async with asyncio.timeout(CONFIRM_SECONDS):
                is_confirmed = await self._ask(position)
        except TimeoutError:
            LOGGER.info(
                'store did not confirm rows in time',
                extra={'table': self._table, 'seconds': CONFIRM_SECONDS},
            )
        CONFIRMATIONS.add(
            1, {'table': self._table, 'is_confirmed': is_confirmed}
        )

    async def _ask(self, position: StorePosition) -> bool:
        """Ask once; return whether the rows are now known to be complete."""
        sent_at = read_boot_clock()
        answer = await self._store.await_changes(
            self._table, position, wait=0, known_at=self._cache.known_at
        )
        if isinstance(answer, StoreRows) and answer.era == position.era:
            self._cache.change(answer, sent_at)
            return True
        LOGGER.info(
            'store did not confirm rows',
            extra={'table': self._table, 'answer': repr(answer)},
        )
        return False
