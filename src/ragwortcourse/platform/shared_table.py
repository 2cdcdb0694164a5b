"""Source of a table that two daemons of a failure domain read for all others.

Load pattern: hundreds of daemons follow a table that changes with each target
that comes or goes. If each read the store, the calls would grow with the
number of daemons, and after a loss of the change history all of them would
read the whole table at once over the line between regions.
"""

import dataclasses
from collections.abc import Awaitable, Callable

from aiohttp import ClientSession, web

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.platform.reader_calls import ReaderCalls
from ragwortcourse.platform.relay_rows import (
    ListAddresses,
    RelayRegistry,
    RelaysUnknownError,
)
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_confirmation import RowConfirmation
from ragwortcourse.platform.row_relay import build_row_routes
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import StorePosition
from ragwortcourse.platform.store_row import (
    Answer,
    HistoryGone,
    StoreRows,
    StoreSilent,
)
from ragwortcourse.platform.table_pace import TablePace

AskStore = Callable[[bool], Awaitable[Answer]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharedTable:
    """Follows two readers at once, and the store if none of them answers.

    A change counts as soon as the first reader tells it, so that one which is
    cut off, slow or suspended makes no rows older. A reader whose own call
    still waits does not know whether it has lost the store. The first reader
    therefore confirms its rows when they are due, and the next ones do if it
    can't.

    :param pace: path of the rows at other daemons, and how old they may get.
    """

    store: Store
    pace: TablePace
    cache: RowCache
    confirmation: RowConfirmation
    readers: ReaderCalls

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
            lambda is_follower: self.confirmation.await_answer(
                self.store.await_changes(
                    table,
                    after,
                    wait=min(wait, self.pace.wait) if is_follower else wait,
                    known_at=known_at,
                ),
                after,
                longest_age=self.pace.overdue_age,
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
            told = await self.readers.ask(after)
            is_follower = bool(await self.readers.list_readers())
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
        if told.is_cut_off:
            answer = dataclasses.replace(answer, regained_ago=0)
        return answer.add_delay(asked_at - began_at)

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
    """Build the source of a table for a daemon with these readers."""
    return SharedTable(
        store=store,
        pace=pace,
        cache=cache,
        confirmation=RowConfirmation(
            store=store, cache=cache, table=pace.table
        ),
        readers=ReaderCalls(
            store=store,
            session=session,
            list_readers=list_readers,
            pace=pace,
            cache=cache,
        ),
    )
