"""Rows in which entry daemons register for other daemons."""

import logging
from collections.abc import Sequence
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock
from ragwortcourse.membership.relay import RelayRecord
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_row import StoreRows

# The system's own table.
TABLE: Final = 'daemons'
# Daemons come and go rarely; one that is gone costs a failed connection.
FRESH_SECONDS: Final = 5.0

# While the store fails.
RETRY_SECONDS: Final = 1.0

LOGGER: Final = logging.getLogger(__name__)


class RelayList:
    """The registered entry daemons, read when they are needed."""

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._records: tuple[RelayRecord, ...] = ()
        self._read_at: float | None = None

    async def list(self) -> Sequence[RelayRecord]:
        """Registered daemons; the last ones known while the store fails."""
        now = read_clock()
        if self._read_at is not None and now - self._read_at < FRESH_SECONDS:
            return self._records
        # Others that ask meanwhile get the last list.
        self._read_at = now
        answer = await self._store.read_table(TABLE)
        if isinstance(answer, StoreRows):
            records = (_decode(row.content) for row in answer.rows)
            self._records = tuple(each for each in records if each is not None)
        else:
            self._read_at = now - FRESH_SECONDS + RETRY_SECONDS
        return self._records


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
