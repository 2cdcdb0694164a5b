"""Source of the operators' table that asks other daemons before the store."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import aiohttp

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.relay_rows import ListAddresses, RelaysUnknownError
from ragwortcourse.platform.restore_hold import RestoreHold
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_fetch import fetch_rows
from ragwortcourse.platform.row_relay import OPERATORS_PATH
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import (
    UNKNOWN_ERA,
    StorePosition,
    is_restored,
)
from ragwortcourse.platform.store_row import (
    Answer,
    HistoryGone,
    StoreRows,
    StoreSilent,
)
from ragwortcourse.weights.peer_reach import PeerReach

# Time for which a daemon that waits for the store itself may hold the request
# of one that ranks after it. In this time a desired state of thousands of
# routes crosses a narrow line once.
HOLD_SECONDS: Final = 0.25
# Rounds of asking daemons that are still at their own first read. Without
# waiting, all daemons would read the same rows over one line after an outage.
READING_ROUNDS: Final = 2

LOGGER: Final = logging.getLogger(__name__)

AskStore = Callable[[bool], Awaitable[Answer]]


async def list_no_daemons() -> Sequence[str]:
    """List no daemons."""
    return ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayedStore:
    """Asks other daemons, then the store, and caches the answers.

    :param list_upstreams: lists the addresses of daemons to ask first.
    :param list_successors: lists the addresses of daemons to ask next, if the
        first ones wait for the store: they read it meanwhile.
    :param list_fallbacks: lists the addresses of daemons to ask if the store
        does not answer.
    :param peer_wait: seconds that a call to a daemon waits for a change.
    :param hold: keeps rows that the store lost in a restore.
    :param services_only: leave out routes and client accounts, which only
        daemons with callers need.
    """

    store: Store
    session: aiohttp.ClientSession
    list_upstreams: ListAddresses
    list_successors: ListAddresses = list_no_daemons
    list_fallbacks: ListAddresses = list_no_daemons
    peer_wait: float
    hold: RestoreHold
    services_only: bool = False
    cache: RowCache = dataclasses.field(default_factory=RowCache)
    reach: PeerReach = dataclasses.field(default_factory=PeerReach)

    @property
    def newest_era(self) -> int:
        """Return the newest era that an answer of the store stated."""
        return self.store.newest_era

    async def read_table(self, table: str) -> Answer:
        """Read every row of the table."""
        sent_at = read_boot_clock()
        answer = await self._ask(None, lambda _: self.store.read_table(table))
        if isinstance(answer, StoreRows):
            answer = self._merge(answer)
            self.cache.replace(answer, sent_at)
        return answer

    async def await_changes(
        self, table: str, after: StorePosition, *, wait: float, known_at: float
    ) -> Answer:
        """Wait for changes after a position.

        :param wait: seconds that a call to the store waits for a change.
        :param known_at: boot-clock time at which the caller's rows were
            complete.
        """
        sent_at = read_boot_clock()
        answer = await self._ask(
            after,
            lambda is_late: self.store.await_changes(
                table,
                after,
                wait=0 if is_late else wait,
                known_at=known_at,
            ),
        )
        if isinstance(answer, StoreRows):
            if answer.era != after.era:
                # Rows changed between the two eras may be missing.
                return HistoryGone()
            answer = self.hold.apply_changes(answer)
            self.cache.change(answer, sent_at)
        return answer

    def _merge(self, answer: StoreRows) -> StoreRows:
        """Add the rows that a restored store lacks to a read of all rows."""
        if is_restored(self._read_era(), answer.era):
            return self.hold.merge_restored(answer, self.cache.list_rows())
        return self.hold.merge_held(answer)

    def _read_era(self) -> int:
        position = self.cache.position
        return UNKNOWN_ERA if position is None else position.era

    async def _ask(
        self, after: StorePosition | None, ask_store: AskStore
    ) -> Answer:
        """Ask upstreams, the store and fallbacks in turn until one answers.

        :param ask_store: takes whether upstreams were asked in vain; the
            cached rows are then old, and the store must confirm them without
            waiting for a change.
        """
        began_at = read_boot_clock()
        try:
            answer, is_asked = await self._ask_upstreams(after)
        except RelaysUnknownError as error:
            return StoreSilent(detail=repr(error))
        if isinstance(answer, StoreSilent):
            asked_at = read_boot_clock()
            answer = await ask_store(is_asked)
            answer = _add_delay(answer, asked_at - began_at)
        was_cut_off = self.cache.is_cut_off
        is_cut_off = isinstance(answer, StoreSilent)
        if is_cut_off:
            self.hold.note_silent()
        self.cache.note_cut_off(is_cut_off=is_cut_off)
        if is_cut_off:
            fallbacks = await self._list_responsive(self.list_fallbacks)
            asked_at = read_boot_clock()
            fallback_answer = await self._ask_daemons(
                fallbacks, after, self.peer_wait if was_cut_off else 0
            )
            if not isinstance(fallback_answer, StoreSilent):
                return _add_delay(fallback_answer, asked_at - began_at)
            # Report the failure of the store, not that of the fallbacks.
        return answer

    async def _ask_upstreams(
        self, after: StorePosition | None
    ) -> tuple[Answer, bool]:
        """Return the answer of the upstreams, and whether any was asked.

        If this daemon has no rows yet, upstreams that are at their own first
        read are asked once more.
        """
        rounds = READING_ROUNDS if after is None else 1
        while True:
            rounds -= 1
            asked = await self._choose_upstreams()
            answer = await self._ask_daemons(asked, after, self.peer_wait)
            if isinstance(answer, StoreSilent) and not answer.is_reading:
                answer = await self._ask_successors(answer, after)
            is_reading = isinstance(answer, StoreSilent) and answer.is_reading
            if not (rounds and is_reading):
                return answer, bool(asked)

    async def _ask_successors(
        self, answer: Answer, after: StorePosition | None
    ) -> Answer:
        """Ask the daemons that read the store in place of the first ones.

        Load pattern: a full line delays the first readers' answer from the
        store. If all daemons of a failure domain then read the same rows over
        the same line, none of their calls ends in time, nor does any later.
        Each daemon therefore gives those before it a while longer.

        :param answer: of the first ones.
        """
        for address in await self._list_responsive(self.list_successors):
            told = await self._ask_daemons(
                (address,), after, self.peer_wait, hold=HOLD_SECONDS
            )
            if not isinstance(told, StoreSilent):
                return told
        return answer

    async def _choose_upstreams(self) -> Sequence[str]:
        if is_restored(self._read_era(), self.store.newest_era):
            # They may only have been silent because the store was away. All
            # daemons read the table now; one of them should read the store.
            return await self.list_upstreams()
        return await self._list_responsive(self.list_upstreams)

    async def _list_responsive(self, list_daemons: ListAddresses) -> list[str]:
        return self.reach.list_responsive(await list_daemons())

    async def _ask_daemons(
        self,
        addresses: Sequence[str],
        after: StorePosition | None,
        wait: float,
        *,
        hold: float = 0,
    ) -> Answer:
        """Return the first answer; ``StoreSilent`` if no rows are fresh.

        :param hold: seconds for which a daemon without fresh rows may hold the
            request.
        """
        began_at = read_boot_clock()
        era = max(self.store.newest_era, self._read_era())
        silent = StoreSilent(detail='no daemon near by has fresh rows')
        for address in addresses:
            asked_at = read_boot_clock()
            answer = await fetch_rows(
                session=self.session,
                address=address,
                path=OPERATORS_PATH,
                after=after,
                era=era,
                wait=wait,
                hold=hold,
                services_only=self.services_only,
            )
            if not isinstance(answer, StoreSilent):
                self.reach.note_answered(address)
                answer = _complete_era(
                    answer, self._read_era() if after is None else after.era
                )
                return _add_delay(answer, asked_at - began_at)
            LOGGER.info(
                'no fresh rows from a daemon; asking the next source',
                extra={'detail': answer.detail},
            )
            if answer.is_reading or answer.is_behind:
                silent = answer
            else:
                self.reach.note_silent(address)
        return silent


def _complete_era(answer: Answer, era: int) -> Answer:
    """Add the known era to rows of a daemon of an older release."""
    if isinstance(answer, StoreRows) and answer.era == UNKNOWN_ERA:
        return dataclasses.replace(answer, era=era)
    return answer


def _add_delay(answer: Answer, seconds: float) -> Answer:
    """Add the time spent on asking others before to the answer's delay."""
    if isinstance(answer, StoreRows):
        return answer.add_delay(seconds)
    return answer
