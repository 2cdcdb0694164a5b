"""Rows in which entry daemons register for other daemons."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec

from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.readers import list_fallback_readers, list_readers
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_row import StoreRows

# The system's own table.
TABLE: Final = 'daemons'
# Daemons come and go rarely; one that is gone costs a failed connection.
FRESH_SECONDS: Final = 5.0

# While the store fails.
RETRY_SECONDS: Final = 1.0

LOGGER: Final = logging.getLogger(__name__)


class RelaysUnknownError(Exception):
    """The store has not told yet which daemons are registered."""


ListAddresses = Callable[[], Awaitable[Sequence[str]]]


class RelayRegistry:
    """The registered entry daemons as last read."""

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._records: tuple[RelayRecord, ...] = ()
        self._is_read = False

    async def follow(self) -> None:
        """Read them again and again, for ever."""
        while True:
            is_read = await self.read()
            await asyncio.sleep(FRESH_SECONDS if is_read else RETRY_SECONDS)

    async def read(self) -> bool:
        """Read them once; the last ones stay where the store fails."""
        answer = await self._store.read_table(TABLE)
        if not isinstance(answer, StoreRows):
            return False
        records = (_decode(row.content) for row in answer.rows)
        self._records = tuple(each for each in records if each is not None)
        self._is_read = True
        return True

    async def list(self) -> Sequence[RelayRecord]:
        """Registered daemons, without waiting for the store."""
        return self._records

    def build_upstream_lister(
        self, *, own: DaemonId, domain: FailureDomainName
    ) -> ListAddresses:
        """Lists the addresses of daemons to be asked before the store.

        They are read where they have not been yet: many daemons that start
        together would all read the store. Where that fails the lister
        raises :class:`RelaysUnknownError`: the store would fail as well, or
        come back to all daemons at once.
        """

        async def list_addresses() -> Sequence[str]:
            if not self._is_read and not await self.read():
                raise RelaysUnknownError
            readers = list_readers(relays=self._records, own=own, domain=domain)
            return [reader.address for reader in readers]

        return list_addresses

    def build_fallback_lister(
        self, *, own: DaemonId, domain: FailureDomainName
    ) -> ListAddresses:
        """Lists the addresses of daemons to be asked after the store."""

        async def list_addresses() -> Sequence[str]:
            relays = await self.list()
            helpers = list_fallback_readers(
                relays=relays, own=own, domain=domain
            )
            return [helper.address for helper in helpers]

        return list_addresses


async def register_relay(store: Store, record: RelayRecord) -> bool:
    """Write the own row; say whether the store took it."""
    content = msgspec.json.encode(record)
    return await store.write_row(TABLE, record.daemon, content)


def _decode(content: bytes | None) -> RelayRecord | None:
    try:
        return msgspec.json.decode(content or b'', type=RelayRecord)
    except msgspec.DecodeError as error:
        LOGGER.warning(
            'unreadable row of a daemon', extra={'detail': str(error)}
        )
        return None
