"""Registration of entry daemons that relay rows to other daemons.

Load pattern: the store comes back from a copy in which the registrations of
many daemons are missing. All of them register again, and meanwhile no share
of a limit may be computed for fewer daemons than there are.
"""

import asyncio
import logging
import math
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Final

import msgspec

from ragwortcourse.addresses import parse_address
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.readers import (
    list_fallback_readers,
    list_shared_readers,
    list_successors,
    list_upstream_readers,
)
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform.feed import (
    TableFeed,
    TableHandler,
    TableSource,
)
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import UNKNOWN_ERA, is_restored
from ragwortcourse.platform.store_row import StoreRow, StoreRows
from ragwortcourse.unreadable import UnreadableError

# A table of this project, not of the platform.
TABLE: Final = 'daemons'
FEED_SECONDS: Final = 10.0
# The pause merges the registrations of daemons that start together.
PAUSE_SECONDS: Final = 1.0
# Longest delay of a read of all registrations after the history was lost.
SPREAD_SECONDS: Final = 5.0

# Used while the store fails.
RETRY_SECONDS: Final = 1.0
# Daemons register again within this time after a restore, so that their calls
# do not arrive together.
REGISTER_SPREAD_SECONDS: Final = 2.0
# Longer than it takes until the registrations made after a restore are read.
RESTORED_SECONDS: Final = 10.0

LOGGER: Final = logging.getLogger(__name__)


class RelaysUnknownError(Exception):
    """The registered daemons have not been read from the store yet."""


ListAddresses = Callable[[], Awaitable[Sequence[str]]]


class RelayRegistry:
    """Registered entry daemons as last read from the store.

    ``first_read`` are the names of those that were registered before this
    daemon; none before the first read.
    """

    def __init__(self, *, store: Store, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._records: dict[str, RelayRecord] = {}
        self._reading = asyncio.Lock()
        self.first_read: frozenset[str] = frozenset()
        self._is_read = False
        self._era = UNKNOWN_ERA
        self._kept_until = -math.inf

    async def follow(self, source: TableSource) -> None:
        """Follow the registrations, forever.

        The first read is one of the store, as nobody else is known yet.

        :param source: from which changes are read.
        """
        await self.wait_read()
        feed = TableFeed(
            store=source,
            table=TABLE,
            wait=FEED_SECONDS,
            pause=PAUSE_SECONDS,
            spread=SPREAD_SECONDS,
            handler=TableHandler(
                replace=lambda rows, _: self._replace(rows),
                change=lambda rows, _age, _gap: self._change(rows),
                confirm=_ignore,
                lose=_ignore,
                restore=self._keep_known,
                regain=_ignore,
            ),
            rng=self._rng,
        )
        await feed.follow()

    async def wait_read(self) -> None:
        """Wait until the registrations have been read."""
        while not await self._read_once():  # noqa: ASYNC110
            await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1))

    async def read(self) -> bool:
        """Read the registrations; keep the last ones if the store fails.

        :return: whether the store answered.
        """
        answer = await self._store.read_table(TABLE)
        if not isinstance(answer, StoreRows):
            return False
        if is_restored(self._era, answer.era):
            self._keep_known()
        self._era = max(self._era, answer.era)
        self._replace(answer.rows)
        return True

    async def list(self) -> Sequence[RelayRecord]:
        """List the registered daemons without asking the store."""
        return tuple(self._records.values())

    def build_upstream_lister(
        self, *, own: DaemonId, domain: FailureDomainName
    ) -> ListAddresses:
        """Build a function that lists the daemons to ask before the store.

        The function returns addresses. It reads the registrations first if
        they have not been read yet; otherwise many daemons that start
        together would all read the operators' table from the store. If the
        read fails, the function raises :class:`RelaysUnknownError`: the
        store would fail too, or be asked by all daemons at once when it
        recovers.
        """

        async def list_addresses() -> Sequence[str]:
            upstreams = list_upstream_readers(
                relays=await self._list_read(), own=own, domain=domain
            )
            return [upstream.address for upstream in upstreams]

        return list_addresses

    def build_successor_lister(
        self, *, own: DaemonId, domain: FailureDomainName
    ) -> ListAddresses:
        """Build a function that lists the daemons to ask after upstreams."""

        async def list_addresses() -> Sequence[str]:
            successors = list_successors(
                relays=await self.list(), own=own, domain=domain
            )
            return [successor.address for successor in successors]

        return list_addresses

    def build_reader_lister(
        self, *, own: DaemonId, domain: FailureDomainName
    ) -> ListAddresses:
        """Build a function that lists the readers of shared tables.

        It reads the registrations first, like that of the daemons to ask
        before the store.
        """

        async def list_addresses() -> Sequence[str]:
            readers = list_shared_readers(
                relays=await self._list_read(), own=own, domain=domain
            )
            return [reader.address for reader in readers]

        return list_addresses

    def build_fallback_lister(
        self, *, own: DaemonId, domain: FailureDomainName
    ) -> ListAddresses:
        """Build a function that lists the daemons to ask after the store."""

        async def list_addresses() -> Sequence[str]:
            relays = await self.list()
            fallbacks = list_fallback_readers(
                relays=relays, own=own, domain=domain
            )
            return [fallback.address for fallback in fallbacks]

        return list_addresses

    async def _list_read(self) -> Sequence[RelayRecord]:
        """List the registered daemons; read them if they are unknown yet.

        :raises RelaysUnknownError: the store did not answer.
        """
        if not await self._read_once():
            raise RelaysUnknownError
        return await self.list()

    async def _read_once(self) -> bool:
        """Read the registrations unless this has been done."""
        async with self._reading:
            return self._is_read or await self.read()

    def _replace(self, rows: Sequence[StoreRow]) -> None:
        is_kept = read_boot_clock() < self._kept_until
        known = self._records if is_kept else {}
        self._records = {**known, **_decode_all(rows)}
        if not self._is_read:
            self.first_read = frozenset(self._records)
        self._is_read = True

    def _change(self, rows: Sequence[StoreRow]) -> None:
        self._records.update(_decode_all(rows))
        for row in rows:
            if row.content is None:
                self._records.pop(row.key, None)

    def _keep_known(self) -> None:
        self._kept_until = read_boot_clock() + RESTORED_SECONDS


async def register_relay(store: Store, record: RelayRecord) -> bool:
    """Write the registration; return whether the store accepted it."""
    content = msgspec.json.encode(record)
    return await store.write_row(TABLE, record.daemon, content)


async def keep_registered(
    store: Store, record: RelayRecord, rng: random.Random
) -> None:
    """Write the registration, and again after each restore of the store.

    Repeats a write until the store accepts it. Never returns.
    """
    while True:
        era = store.era.newest
        if not await register_relay(store, record):
            await asyncio.sleep(RETRY_SECONDS)
            continue
        # The answer to the first call states the first era.
        await store.era.await_newer(era or store.era.newest)
        await asyncio.sleep(rng.uniform(0, REGISTER_SPREAD_SECONDS))


def _ignore(*seconds: float) -> None:
    """Do nothing: registrations do not expire, and a stale one costs little."""


def _decode_all(rows: Iterable[StoreRow]) -> dict[str, RelayRecord]:
    """Return the registrations in rows, by key."""
    found = {
        row.key: _decode(row.key, row.content)
        for row in rows
        if row.content is not None
    }
    return {key: record for key, record in found.items() if record is not None}


def _decode(key: str, content: bytes) -> RelayRecord | None:
    try:
        record = decode_json(content, RelayRecord)
        parse_address(record.address)
    except UnreadableError as error:
        LOGGER.warning(
            'unreadable registration of a daemon ignored',
            extra={'row': key, 'detail': str(error)},
        )
        return None
    return record
