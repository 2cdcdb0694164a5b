"""The operators' table, read from daemons near by before the store."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import aiohttp

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.relay_rows import ListAddresses, RelaysUnknownError
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_relay import fetch_rows
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRows,
    StoreSilent,
)
from ragwortcourse.weights.peer_reach import PeerReach

# Times that daemons near by are asked for a first reading that they are at
# themselves; after an outage all would read the same over one line.
READING_ROUNDS: Final = 2

LOGGER: Final = logging.getLogger(__name__)

Answer = StoreRows | HistoryGone | StoreSilent
AskStore = Callable[[bool], Awaitable[Answer]]


async def list_nobody() -> Sequence[str]:
    """No daemon to ask."""
    return ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayedStore:
    """Asks other daemons, then the store, and keeps what it was told.

    :param list_upstreams: addresses of daemons to be asked first.
    :param list_fallbacks: addresses of daemons to be asked where the store
        does not answer.
    :param peer_wait: seconds that a call to one of them waits for a change.
    :param services_only: leave out what serves callers alone.
    """

    store: Store
    session: aiohttp.ClientSession
    list_upstreams: ListAddresses
    list_fallbacks: ListAddresses = list_nobody
    peer_wait: float
    services_only: bool = False
    cache: RowCache = dataclasses.field(default_factory=RowCache)
    reach: PeerReach = dataclasses.field(default_factory=PeerReach)

    async def read_table(self, table: str) -> Answer:
        """Every row of the table."""
        sent_at = read_boot_clock()
        answer = await self._ask(None, lambda _: self.store.read_table(table))
        if isinstance(answer, StoreRows):
            self.cache.replace(answer, sent_at)
        return answer

    async def await_changes(
        self, table: str, revision: int, *, wait: float, known_at: float
    ) -> Answer:
        """Changes after a revision, as soon as there is one.

        :param wait: seconds that a call to the store waits for it.
        :param known_at: boot clock at which nothing newer was missing.
        """
        sent_at = read_boot_clock()
        answer = await self._ask(
            revision,
            lambda is_late: self.store.await_changes(
                table,
                revision,
                wait=0 if is_late else wait,
                known_at=known_at,
            ),
        )
        if isinstance(answer, StoreRows):
            self.cache.change(answer, sent_at)
        return answer

    async def _ask(self, after: int | None, ask_store: AskStore) -> Answer:
        """Ask readers, the store and helpers, until one answers.

        :param ask_store: takes whether a reader has just fallen away; what
            is known is then old, and must be confirmed at once.
        """
        began_at = read_boot_clock()
        try:
            answer, is_asked = await self._ask_readers(after)
        except RelaysUnknownError as error:
            return StoreSilent(detail=repr(error))
        if isinstance(answer, StoreSilent):
            asked_at = read_boot_clock()
            answer = await ask_store(is_asked)
            answer = _note_delay(answer, asked_at - began_at)
        was_cut_off = self.cache.is_cut_off
        is_cut_off = isinstance(answer, StoreSilent)
        self.cache.note_cut_off(is_cut_off=is_cut_off)
        if is_cut_off:
            helpers = await self._list_heard(self.list_fallbacks)
            asked_at = read_boot_clock()
            helped = await self._ask_daemons(
                helpers, after, self.peer_wait if was_cut_off else 0
            )
            if not isinstance(helped, StoreSilent):
                return _note_delay(helped, asked_at - began_at)
            # A refused store is no fault of the daemons that were asked.
        return answer

    async def _ask_readers(self, after: int | None) -> tuple[Answer, bool]:
        """What those that are asked first have, and whether any was asked.

        Those that are at their first reading are waited for where this
        daemon has nothing yet either.
        """
        rounds = READING_ROUNDS if after is None else 1
        while True:
            rounds -= 1
            asked = await self._list_heard(self.list_upstreams)
            answer = await self._ask_daemons(asked, after, self.peer_wait)
            is_reading = isinstance(answer, StoreSilent) and answer.is_reading
            if not (rounds and is_reading):
                return answer, bool(asked)

    async def _list_heard(self, list_daemons: ListAddresses) -> list[str]:
        return [
            address
            for address in await list_daemons()
            if not self.reach.is_silent(address)
        ]

    async def _ask_daemons(
        self, addresses: Sequence[str], after: int | None, wait: float
    ) -> Answer:
        """What another daemon has; silent where none has fresh rows."""
        began_at = read_boot_clock()
        silent = StoreSilent(detail='no daemon near by has fresh rows')
        for address in addresses:
            asked_at = read_boot_clock()
            answer = await fetch_rows(
                session=self.session,
                address=address,
                after=after,
                wait=wait,
                services_only=self.services_only,
            )
            if not isinstance(answer, StoreSilent):
                return _note_delay(answer, asked_at - began_at)
            LOGGER.info(
                'daemon near by has no fresh rows; asking elsewhere',
                extra={'detail': answer.detail},
            )
            if answer.is_reading:
                silent = answer
            else:
                self.reach.note_silent(address)
        return silent


def _note_delay(answer: Answer, seconds: float) -> Answer:
    """Note that others were asked for some time before."""
    if isinstance(answer, StoreRows):
        return dataclasses.replace(answer, delay=answer.delay + seconds)
    return answer
