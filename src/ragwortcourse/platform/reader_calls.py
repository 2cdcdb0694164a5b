"""Calls to the daemons that read a table of the store for others.

Load pattern: readers of a failure domain lose the store, are suspended or
restarted, one after the other or together, while their followers are in touch
with it. Each follower has to notice in time, and not all of them may ask the
store.
"""

import asyncio
import dataclasses
import logging
import math
from collections.abc import Sequence
from typing import Final

from aiohttp import ClientSession

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.membership.readers import MAX_READERS
from ragwortcourse.platform.relay_rows import ListAddresses
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_fetch import SILENT_SECONDS, fetch_rows
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import StorePosition
from ragwortcourse.platform.store_row import (
    Answer,
    HistoryGone,
    StoreRows,
    StoreSilent,
)
from ragwortcourse.platform.table_pace import TablePace
from ragwortcourse.weights.peer_reach import PeerReach

# Rounds of calls to readers before the store is asked. The first is for the
# two that usually read; most daemons find an answer in the second.
MAX_ROUNDS: Final = 3
# Time for rounds after the first call is due. Readers that fall silent spend
# it, so that the store is asked in time.
ROUNDS_SECONDS: Final = 0.5

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReaderCalls:
    """Asks the readers of a table for the rows of one follower.

    :param store: knows the newest era.
    :param list_readers: lists the addresses of the daemons that may read the
        store for this one, in order; empty if this one reads for others.
    :param pace: path of the rows at other daemons, and how old they may get.
    :param cache: rows of this daemon.
    """

    store: Store
    session: ClientSession
    list_readers: ListAddresses
    pace: TablePace
    cache: RowCache
    reach: PeerReach = dataclasses.field(default_factory=PeerReach)

    async def ask(self, after: StorePosition | None) -> Answer:
        """Ask two readers, and the next two if these can't confirm their rows.

        The first call is due when this daemon's own rows are, so that it takes
        no longer to notice a reader that falls silent.
        """
        told = StoreSilent(detail='no reader asked')
        wait = self._read_wait()
        ends_at = read_boot_clock() + wait + ROUNDS_SECONDS
        for round_ in range(MAX_ROUNDS):
            readers = await self.list_readers()
            addresses = self.reach.list_responsive(readers)
            if not addresses or read_boot_clock() > ends_at:
                break
            asked = addresses[:MAX_READERS]
            # The second reader only passes on changes at first.
            is_shared = after is not None and not round_
            confirming = asked[:1] if is_shared else asked
            answer = await self._ask_two(asked, confirming, after, wait)
            if not isinstance(answer, StoreSilent):
                return answer
            told = answer
            # The rows are due, so that nobody has time to wait for a change.
            wait = 0
        return told

    def _read_wait(self) -> float:
        """Return the seconds for which no row of this daemon is due."""
        due_at = self.cache.complete_at + self.pace.due_age
        return min(max(due_at - read_boot_clock(), 0), self.pace.wait)

    async def _ask_two(
        self,
        addresses: Sequence[str],
        confirming: Sequence[str],
        after: StorePosition | None,
        wait: float,
    ) -> Answer:
        """Return the first answer that is enough, else the best of all.

        Rows are enough, and none are where nobody waits for a change.

        :param confirming: those of the addresses that have to confirm their
            rows.
        """
        asked = [
            asyncio.ensure_future(
                self._ask_confirming(address, after, wait)
                if address in confirming
                else self._ask_unconfirmed(address, after, wait)
            )
            for address in addresses
        ]
        best: Answer = StoreSilent(detail='no reader asked')
        try:
            for answering in asyncio.as_completed(asked):
                best = _choose_answer(best, await answering)
                if isinstance(best, StoreRows) and (best.rows or not wait):
                    break
        finally:
            for call in asked:
                call.cancel()
        return best

    async def _ask_confirming(
        self, address: str, after: StorePosition | None, wait: float
    ) -> Answer:
        """Ask a reader that confirms its rows once they are due."""
        due_age = self.pace.due_age
        answer = await self._fetch(address, after, wait, due_age)
        # A reader of an older release does not confirm them.
        return _check_age(answer, due_age + SILENT_SECONDS)

    async def _ask_unconfirmed(
        self, address: str, after: StorePosition | None, wait: float
    ) -> Answer:
        """Ask a reader for the changes that it knows of."""
        answer = await self._fetch(address, after, wait, math.inf)
        return _check_age(answer, self.pace.due_age)

    async def _fetch(
        self,
        address: str,
        after: StorePosition | None,
        wait: float,
        longest_age: float,
    ) -> Answer:
        answer = await fetch_rows(
            session=self.session,
            address=address,
            path=self.pace.path,
            after=after,
            era=self.store.newest_era,
            wait=wait,
            longest_age=longest_age,
        )
        if not isinstance(answer, StoreSilent):
            self.reach.note_answered(address)
        elif not answer.is_reading:
            self.reach.note_silent(address)
            LOGGER.info(
                'no fresh rows from a reader of the store',
                extra={'path': self.pace.path, 'detail': answer.detail},
            )
        return answer


def _check_age(answer: Answer, longest_age: float) -> Answer:
    """Return an answer unless it has no changes and is old."""
    if not isinstance(answer, StoreRows) or answer.rows:
        return answer
    if answer.known_age <= longest_age:
        return answer
    return StoreSilent(detail='rows not confirmed', is_behind=True)


def _choose_answer(best: Answer, other: Answer) -> Answer:
    """Choose between the answers of two readers.

    Rows go before a lost history, as the other reader may just have started,
    and changes before none. A reader that lost the store tells most of those
    that have no rows.
    """
    if isinstance(best, StoreRows) and isinstance(other, StoreRows):
        return max(best, other, key=_rank_rows)
    for kind in (StoreRows, HistoryGone):
        for answer in (best, other):
            if isinstance(answer, kind):
                return answer
    if isinstance(best, StoreSilent) and best.is_cut_off:
        return best
    return other


def _rank_rows(answer: StoreRows) -> tuple[bool, float]:
    return bool(answer.rows), -answer.known_age
