"""The operators' table, read from daemons near by before the store."""

import dataclasses
import logging
from typing import Final

import aiohttp

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.relay_rows import ListReaders
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_relay import fetch_rows
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRows,
    StoreSilent,
)
from ragwortcourse.weights.peer_reach import PeerReach

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayedStore:
    """Asks other daemons, then the store, and keeps what it was told.

    :param list_readers: addresses of daemons to be asked first.
    :param peer_wait: seconds that a call to one of them waits for a change.
    :param services_only: leave out what serves callers alone.
    """

    store: Store
    session: aiohttp.ClientSession
    list_readers: ListReaders
    peer_wait: float
    services_only: bool = False
    cache: RowCache = dataclasses.field(default_factory=RowCache)
    reach: PeerReach = dataclasses.field(default_factory=PeerReach)

    async def read_table(
        self, table: str
    ) -> StoreRows | HistoryGone | StoreSilent:
        """Every row of the table."""
        sent_at = read_boot_clock()
        answer = await self._ask_readers(None)
        if isinstance(answer, StoreSilent):
            answer = await self.store.read_table(table)
        if isinstance(answer, StoreRows):
            self.cache.replace(answer, sent_at)
        return answer

    async def await_changes(
        self, table: str, revision: int, *, wait: float, known_at: float
    ) -> StoreRows | HistoryGone | StoreSilent:
        """Changes after a revision, as soon as there is one.

        :param wait: seconds that a call to the store waits for it.
        :param known_at: boot clock at which nothing newer was missing.
        """
        sent_at = read_boot_clock()
        answer = await self._ask_readers(revision)
        if isinstance(answer, StoreSilent):
            answer = await self.store.await_changes(
                table, revision, wait=wait, known_at=known_at
            )
        if isinstance(answer, StoreRows):
            self.cache.change(answer, sent_at)
        return answer

    async def _ask_readers(
        self, after: int | None
    ) -> StoreRows | HistoryGone | StoreSilent:
        """What another daemon has; silent where none has fresh rows."""
        for address in await self.list_readers():
            if self.reach.is_silent(address):
                continue
            answer = await fetch_rows(
                session=self.session,
                address=address,
                after=after,
                wait=self.peer_wait,
                services_only=self.services_only,
            )
            if not isinstance(answer, StoreSilent):
                return answer
            LOGGER.info(
                'daemon near by has no fresh rows; asking elsewhere',
                extra={'detail': answer.detail},
            )
            self.reach.note_silent(address)
        return StoreSilent(detail='no daemon near by has fresh rows')
