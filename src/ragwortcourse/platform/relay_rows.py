"""Registration of entry daemons that relay rows to other daemons."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec

from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.readers import (
    list_fallback_readers,
    list_upstream_readers,
)
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_row import StoreRows

# A table of this project, not of the platform.
TABLE: Final = 'daemons'
# Daemons rarely come and go; a stale entry costs one failed connection.
FRESH_SECONDS: Final = 5.0

# Used while the store fails.
RETRY_SECONDS: Final = 1.0

LOGGER: Final = logging.getLogger(__name__)


class RelaysUnknownError(Exception):
    """The registered daemons have not been read from the store yet."""


ListAddresses = Callable[[], Awaitable[Sequence[str]]]


class RelayRegistry:
    """Registered entry daemons as last read from the store."""

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._records: tuple[RelayRecord, ...] = ()
        self._is_read = False

    async def follow(self) -> None:
        """Read the registrations periodically, forever."""
        while True:
            is_read = await self.read()
            await asyncio.sleep(FRESH_SECONDS if is_read else RETRY_SECONDS)

    async def read(self) -> bool:
        """Read the registrations; keep the last ones if the store fails.

        :return: whether the store answered.
        """
        answer = await self._store.read_table(TABLE)
        if not isinstance(answer, StoreRows):
            return False
        records = (_decode(row.content) for row in answer.rows)
        self._records = tuple(each for each in records if each is not None)
        self._is_read = True
        return True

    async def list(self) -> Sequence[RelayRecord]:
        """List the registered daemons without asking the store."""
        return self._records

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
            if not self._is_read and not await self.read():
                raise RelaysUnknownError
            upstreams = list_upstream_readers(
                relays=self._records, own=own, domain=domain
            )
            return [upstream.address for upstream in upstreams]

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


async def register_relay(store: Store, record: RelayRecord) -> bool:
    """Write the registration; return whether the store accepted it."""
    content = msgspec.json.encode(record)
    return await store.write_row(TABLE, record.daemon, content)


def _decode(content: bytes | None) -> RelayRecord | None:
    try:
        return msgspec.json.decode(content or b'', type=RelayRecord)
    except msgspec.DecodeError as error:
        LOGGER.warning(
            'unreadable registration of a daemon ignored',
            extra={'detail': str(error)},
        )
        return None
