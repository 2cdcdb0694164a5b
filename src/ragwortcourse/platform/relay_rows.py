"""Registration of entry daemons that relay rows to other daemons.

Load pattern: the store comes back from a copy in which the registrations of
many daemons are missing. All of them register again, and meanwhile no share
of a limit may be computed for fewer daemons than there are.
"""

import asyncio
import logging
import math
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.readers import (
    list_fallback_readers,
    list_upstream_readers,
)
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import UNKNOWN_ERA, is_restored
from ragwortcourse.platform.store_row import StoreRows

# A table of this project, not of the platform.
TABLE: Final = 'daemons'
# Daemons rarely come and go; a stale entry costs one failed connection.
FRESH_SECONDS: Final = 5.0
FRESH_SPREAD: Final = (0.8, 1.2)

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
    """Registered entry daemons as last read from the store."""

    def __init__(self, *, store: Store, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._records: tuple[RelayRecord, ...] = ()
        self._is_read = False
        self._era = UNKNOWN_ERA
        self._kept_until = -math.inf

    async def follow(self) -> None:
        """Read the registrations periodically, forever."""
        while True:
            is_read = await self.read()
            seconds = FRESH_SECONDS if is_read else RETRY_SECONDS
            # Daemons that started together drift apart.
            await asyncio.sleep(seconds * self._rng.uniform(*FRESH_SPREAD))

    async def read(self) -> bool:
        """Read the registrations; keep the last ones if the store fails.

        :return: whether the store answered.
        """
        answer = await self._store.read_table(TABLE)
        if not isinstance(answer, StoreRows):
            return False
        found = [_decode(row.content) for row in answer.rows]
        records = {each.daemon: each for each in found if each is not None}
        now = read_boot_clock()
        if is_restored(self._era, answer.era):
            self._kept_until = now + RESTORED_SECONDS
        self._era = max(self._era, answer.era)
        if now < self._kept_until:
            known = {each.daemon: each for each in self._records}
            records = {**known, **records}
        self._records = tuple(records.values())
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


def _decode(content: bytes | None) -> RelayRecord | None:
    try:
        return msgspec.json.decode(content or b'', type=RelayRecord)
    except msgspec.DecodeError as error:
        LOGGER.warning(
            'unreadable registration of a daemon ignored',
            extra={'detail': str(error)},
        )
        return None
