"""Source of a table that two daemons of a failure domain read for all others.

Load pattern: hundreds of daemons follow a table that changes with each target
that comes or goes. If each read the store, the calls would grow with the
number of daemons, and after a loss of the change history all of them would
read the whole table at once over the line between regions.
"""

import asyncio
import dataclasses
import logging
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from aiohttp import ClientSession, web

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.readers import MAX_READERS
from ragwortcourse.platform import names
from ragwortcourse.platform.relay_rows import TABLE as DAEMONS_TABLE
from ragwortcourse.platform.relay_rows import (
    ListAddresses,
    RelayRegistry,
    RelaysUnknownError,
)
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_confirmation import RowConfirmation
from ragwortcourse.platform.row_fetch import SILENT_SECONDS, fetch_rows
from ragwortcourse.platform.row_relay import build_row_routes
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import StorePosition
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRows,
    StoreSilent,
)
from ragwortcourse.weights.peer_reach import PeerReach

# Rounds of calls to readers before the store is asked. The first is for the
# two that usually read; most daemons find an answer in the second.
MAX_ROUNDS: Final = 3
# Time for rounds after the first call is due. Readers that fall silent spend
# it, so that the store is asked in time.
ROUNDS_SECONDS: Final = 0.5

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablePace:
    """How daemons exchange the rows of a table.

    :param table: name of the table in the store.
    :param path: path of the rows at a daemon.
    :param wait: seconds that a call to a reader waits for a change.
    :param due_age: age in seconds at which a daemon has its rows confirmed. A
        change that nobody passes on is found by then, and a little later if
        readers have lost the store or fall silent.
    :param longest_age: age of the rows in seconds, above which a reader does
        not pass them on, changes included; longer than its own call to the
        store.
    """

    table: str
    path: str
    wait: float
    due_age: float
    longest_age: float


# A target that leaves gets no new requests after 2 s and more.
TARGETS_WAIT_SECONDS: Final = 1.0
TARGETS_DUE_SECONDS: Final = 1.0
TARGETS_LONGEST_AGE_SECONDS: Final = 6.0
TARGETS_PACE: Final = TablePace(
    table=names.TARGETS_TABLE,
    path='/targets',
    wait=TARGETS_WAIT_SECONDS,
    due_age=TARGETS_DUE_SECONDS,
    longest_age=TARGETS_LONGEST_AGE_SECONDS,
)
# Daemons rarely come and go; a stale entry costs one failed connection.
DAEMONS_WAIT_SECONDS: Final = 8.0
DAEMONS_LONGEST_AGE_SECONDS: Final = 15.0
DAEMONS_PACE: Final = TablePace(
    table=DAEMONS_TABLE,
    path='/daemons',
    wait=DAEMONS_WAIT_SECONDS,
    due_age=DAEMONS_LONGEST_AGE_SECONDS,
    longest_age=DAEMONS_LONGEST_AGE_SECONDS,
)

Answer = StoreRows | HistoryGone | StoreSilent
AskStore = Callable[[bool], Awaitable[Answer]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharedTable:
    """Follows two readers at once, and the store if none of them answers.

    A change counts as soon as the first reader tells it, so that one which is
    cut off, slow or suspended makes no rows older. A reader whose own call
    still waits does not know whether it has lost the store. The first reader
    therefore confirms its rows when they are due, and the next ones do if it
    can't.

    :param list_readers: lists the addresses of the daemons that may read the
        store for this one, in order; empty if this one reads for others.
    :param pace: path of the rows at other daemons, and how old they may get.
    """

    store: Store
    session: ClientSession
    list_readers: ListAddresses
    pace: TablePace
    cache: RowCache
    confirmation: RowConfirmation
    reach: PeerReach = dataclasses.field(default_factory=PeerReach)

    @property
    def newest_era(self) -> int:
        """Return the newest era that an answer of the store stated."""
        return self.store.newest_era

    @property
    def routes(self) -> list[web.RouteDef]:
        """Return the routes that send the rows to other daemons."""
        return build_row_routes(
            self.cache,
            path=self.pace.path,
            longest_age=self.pace.longest_age,
            confirm=self.confirmation.confirm,
        )

    async def read_table(self, table: str) -> Answer:
        """Read every row of the table."""
        sent_at = read_boot_clock()
        answer = await self._ask(None, lambda _: self.store.read_table(table))
        if isinstance(answer, StoreRows):
            self.cache.replace(answer, sent_at)
        return answer

    async def await_changes(
        self, table: str, after: StorePosition, *, wait: float, known_at: float
    ) -> Answer:
        """Wait for changes after a position.

        A daemon whose readers do not answer calls the store for no longer than
        it would wait for a reader: a store in trouble may leave a waiting call
        without the changes that it tells others, and readers may be back.

        :param wait: seconds that a call to the store waits for a change.
        :param known_at: boot-clock time at which the caller's rows were
            complete.
        """
        sent_at = read_boot_clock()
        answer = await self._ask(
            after,
            lambda is_follower: self.store.await_changes(
                table,
                after,
                wait=min(wait, self.pace.wait) if is_follower else wait,
                known_at=known_at,
            ),
        )
        if isinstance(answer, StoreRows):
            if answer.era != after.era:
                # Rows changed between the two eras may be missing.
                return HistoryGone()
            self.cache.change(answer, sent_at)
        return answer

    async def _ask(
        self, after: StorePosition | None, ask_store: AskStore
    ) -> Answer:
        """Ask the readers, and the store if none of them has rows.

        :param ask_store: takes whether others should have read for this
            daemon.
        """
        began_at = read_boot_clock()
        try:
            told = await self._ask_readers(after)
            is_follower = bool(await self.list_readers())
        except RelaysUnknownError as error:
            return StoreSilent(detail=repr(error))
        if not isinstance(told, StoreSilent):
            self._note_told(told)
            return told
        asked_at = read_boot_clock()
        answer = await ask_store(is_follower)
        self._note_store(answer)
        if not isinstance(answer, StoreRows):
            return answer
        return dataclasses.replace(
            answer,
            delay=answer.delay + asked_at - began_at,
            regained_ago=0 if told.is_cut_off else answer.regained_ago,
        )

    def _note_store(self, answer: Answer) -> None:
        if isinstance(answer, StoreSilent):
            self.cache.note_cut_off(
                is_cut_off=True, is_refused=not answer.overdue
            )
        else:
            self.cache.note_cut_off(is_cut_off=False)

    def _note_told(self, answer: StoreRows | HistoryGone) -> None:
        self.cache.note_cut_off(is_cut_off=False)
        if isinstance(answer, StoreRows):
            # This daemon itself may not call the store for long.
            self.store.era.hear(answer.era)

    async def _ask_readers(self, after: StorePosition | None) -> Answer:
        """Ask two readers, and the next two if these can't confirm their rows.

        The first call is due when this daemon's own rows are, so that it takes
        no longer to notice a reader that falls silent.
        """
        told: Answer = StoreSilent(detail='no reader asked')
        wait = self._read_wait()
        ends_at = read_boot_clock() + wait + ROUNDS_SECONDS
        for round_ in range(MAX_ROUNDS):
            addresses = await self._list_responsive()
            if not addresses or read_boot_clock() > ends_at:
                break
            asked = addresses[:MAX_READERS]
            # The second reader only passes on changes at first.
            is_shared = after is not None and not round_
            confirming = asked[:1] if is_shared else asked
            answer = await self._ask_two(asked, confirming, after, wait)
            if self._is_current(answer):
                return answer
            told = answer if isinstance(answer, StoreSilent) else told
            wait = 0
        return told

    def _is_current(self, answer: Answer) -> bool:
        """Tell whether an answer has changes, or rows that are not due."""
        if not isinstance(answer, StoreRows):
            return isinstance(answer, HistoryGone)
        longest_age = self.pace.due_age + SILENT_SECONDS
        return bool(answer.rows) or answer.known_age <= longest_age

    def _read_wait(self) -> float:
        """Return the seconds for which no row of this daemon is due."""
        due_at = self.cache.complete_at + self.pace.due_age
        return min(max(due_at - read_boot_clock(), 0), self.pace.wait)

    async def _list_responsive(self) -> Sequence[str]:
        return [
            address
            for address in await self.list_readers()
            if not self.reach.is_silent(address)
        ]

    async def _ask_two(
        self,
        addresses: Sequence[str],
        confirming: Sequence[str],
        after: StorePosition | None,
        wait: float,
    ) -> Answer:
        """Return the first answer with rows, else the best of all answers.

        :param confirming: those of the addresses that have to confirm their
            rows.
        """
        asked = [
            asyncio.ensure_future(
                self._ask_reader(
                    address,
                    after,
                    wait=wait,
                    longest_age=(
                        self.pace.due_age if address in confirming else math.inf
                    ),
                )
            )
            for address in addresses
        ]
        best: Answer = StoreSilent(detail='no reader asked')
        try:
            for answering in asyncio.as_completed(asked):
                best = _choose_answer(best, await answering)
                if isinstance(best, StoreRows) and best.rows:
                    break
        finally:
            for call in asked:
                call.cancel()
        return best

    async def _ask_reader(
        self,
        address: str,
        after: StorePosition | None,
        *,
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


def share_table(
    *,
    store: Store,
    session: ClientSession,
    relays: RelayRegistry,
    own: DaemonId,
    domain: FailureDomainName,
    pace: TablePace,
    witness: RowCache | None = None,
) -> SharedTable:
    """Build the source of a table for a daemon of a failure domain.

    :param witness: cache of another table, whose answers also show that this
        one has not changed.
    """
    return build_shared_table(
        store=store,
        session=session,
        list_readers=relays.build_reader_lister(own=own, domain=domain),
        pace=pace,
        cache=RowCache(witness=witness),
    )


def build_shared_table(
    *,
    store: Store,
    session: ClientSession,
    list_readers: ListAddresses,
    pace: TablePace,
    cache: RowCache,
) -> SharedTable:
    """Build the source of a table with these readers."""
    return SharedTable(
        store=store,
        session=session,
        list_readers=list_readers,
        pace=pace,
        cache=cache,
        confirmation=RowConfirmation(
            store=store, cache=cache, table=pace.table
        ),
    )


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
