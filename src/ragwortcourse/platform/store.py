"""Client of the platform's store of rows.

Load pattern: many daemons read a desired state of thousands of routes over
one narrow line. A call that is aborted while its answer arrives is repeated
and loads the line again.
"""

import asyncio
import base64
import dataclasses
import logging
import math
from collections.abc import Mapping
from typing import Final

import aiohttp
import msgspec

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform import names
from ragwortcourse.platform.answer_delay import AnswerDelay
from ragwortcourse.platform.overlapping_calls import (
    NoteArriving,
    call_overlapping,
)
from ragwortcourse.platform.store_era import StoreEra
from ragwortcourse.platform.store_position import UNKNOWN_ERA, StorePosition
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRows,
    StoreSilent,
)
from ragwortcourse.platform.table_read import TablePage, read_whole_table
from ragwortcourse.platform.wire_rows import (
    WireRows,
    decode_answer,
    decode_rows,
)
from ragwortcourse.unreadable import UnreadableError

# The store answers within some milliseconds, on bad days within some hundred.
CALL_SECONDS: Final = 1.5
# Time between two calls that overlap while the store is lost. A daemon notices
# the return of the store as much later at most.
OVERLAP_SECONDS: Final = 0.5
# Added to the time limit of a call; allows for a long answer that is still
# arriving.
ARRIVING_SECONDS: Final = 6.0
# Reads of a table, if the store can't tell what changed during the last one.
MAX_READS: Final = 3
# Longest transit of a change from a healthy store.
MAX_HEALTHY_DELAY_SECONDS: Final = 0.15
SECONDS_PER_MILLISECOND: Final = 0.001
OK: Final = 200
GONE: Final = 410

LOGGER: Final = logging.getLogger(__name__)


class Store:
    """Client of the store; each call has a time limit.

    :param address: ``ip:port``.
    :ivar era: the newest era that an answer stated.
    """

    def __init__(self, *, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f'http://{address}'
        self.era = StoreEra()
        self._delay = AnswerDelay()
        self._delay_era = UNKNOWN_ERA

    @property
    def newest_era(self) -> int:
        """Return the newest era that an answer stated."""
        return self.era.newest

    async def read_table(self, table: str) -> StoreRows | StoreSilent:
        """Read every row of a table in the partition with the empty name.

        The rows are those of one moment, whatever changes during the read.
        """
        for _ in range(MAX_READS):
            answer = await read_whole_table(self, table)
            if not isinstance(answer, HistoryGone):
                return answer
            LOGGER.info(
                'store restored, or its history discarded, during a read of '
                'a table',
                extra={'table': table},
            )
        return StoreSilent(detail=f'no read of one moment in {MAX_READS}')

    async def read_page(
        self, table: str, first_key: str
    ) -> TablePage | StoreSilent:
        """Read one page of a table in the partition with the empty name.

        :param first_key: key from which rows are read.
        """
        query = {'table': table, 'part': ''}
        if first_key:
            query['from'] = first_key
        sent_at = read_boot_clock()
        answer = await self._ask('/rows-get', query, CALL_SECONDS)
        if not isinstance(answer, WireRows):
            return _read_failure(answer)
        now = read_boot_clock()
        # Every answer improves the estimate of the clock offset.
        self._read_delay(answer, sent_at, now)
        rows = decode_rows(answer)
        if answer.has_more and not rows:
            return StoreSilent(detail='page without keys, but not the last')
        return TablePage(
            rows=StoreRows(
                rows=rows,
                revision=answer.row_version,
                known_age=now - sent_at,
                era=answer.era,
            ),
            # The lowest key above the last received one.
            next_key=f'{rows[-1].key}\0' if answer.has_more else None,
        )

    async def await_changes(
        self, table: str, after: StorePosition, *, wait: float, known_at: float
    ) -> StoreRows | HistoryGone | StoreSilent:
        """Wait for changes after a position.

        The store knows revisions of its newest era only. After a restore the
        rows of the answer are not complete, as its era tells.

        :param wait: seconds after which the answer is empty.
        :param known_at: boot-clock time at which the caller's rows were
            complete.
        """
        query = {
            'table': table,
            'after_rev': str(after.revision),
            'wait_ms': str(round(wait * 1000)),
        }
        sent_at = read_boot_clock()
        answer, sent_after = await self._ask_for_changes(query, wait)
        if not isinstance(answer, WireRows):
            return HistoryGone() if answer == GONE else _read_failure(answer)
        now = read_boot_clock()
        max_transit = self._read_delay(answer, sent_at, now)
        # The store answers a waiting call as soon as a row changes. Rows in an
        # immediate answer may have been in the store since the last answer,
        # and a call that took longer than its wait was late to arrive there.
        has_waited = max_transit < now - sent_at <= wait + max_transit
        return StoreRows(
            rows=decode_rows(answer),
            revision=answer.row_version,
            rows_age=max_transit if has_waited else now - known_at,
            known_age=min(max_transit, now - sent_at),
            delay=sent_after,
            era=answer.era,
            unreached_ago=(
                now - sent_at - sent_after + OVERLAP_SECONDS
                if sent_after
                else math.inf
            ),
        )

    async def write_row(self, table: str, key: str, content: bytes) -> bool:
        """Overwrite a row; return whether the store accepted it."""
        value = base64.b64encode(content).decode()
        row = {'table': table, 'part': '', 'key': key, 'value': value}
        return await self._commit('write', row)

    async def remove_row(self, table: str, key: str) -> bool:
        """Remove a row; return whether the store accepted it."""
        return await self._commit(
            'remove', {'table': table, 'part': '', 'key': key}
        )

    async def _commit(self, action: str, row: Mapping[str, str]) -> bool:
        """Change one row; return whether the store accepted it.

        :param action: ``write`` or ``remove``.
        """
        change = {'expected_rev': [], 'write': [], 'remove': [], action: [row]}
        try:
            async with (
                asyncio.timeout(CALL_SECONDS),
                self._session.post(
                    f'{self._base}/rows-tx', json=change
                ) as response,
            ):
                self._read_era(response)
                return response.status == OK
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            LOGGER.info(
                'row not written',
                extra={
                    'table': row['table'],
                    'key': row['key'],
                    'detail': repr(error),
                },
            )
            return False

    def _read_era(self, response: aiohttp.ClientResponse) -> int:
        """Return the era of an answer, or the newest for a bare refusal.

        A refusal may come from another process than the store's.
        """
        header = response.headers.get(names.ERA)
        if header is None and response.status != OK:
            return self.era.newest
        return self.era.read(header)

    def _read_delay(
        self, answer: WireRows, sent_at: float, now: float
    ) -> float:
        """Return an upper bound of the seconds since an answer was given."""
        if answer.now_ms is None:
            return now - sent_at
        if answer.era > self._delay_era:
            # Another process runs the store, with a clock of its own.
            self._delay = AnswerDelay()
            self._delay_era = answer.era
        stated_at = answer.now_ms * SECONDS_PER_MILLISECOND
        delay = self._delay.measure(stated_at=stated_at, now=now)
        return delay + MAX_HEALTHY_DELAY_SECONDS

    async def _ask(
        self,
        path: str,
        query: Mapping[str, str],
        limit: float,
        note_arriving: NoteArriving | None = None,
    ) -> WireRows | int | StoreSilent:
        """Return rows, a status other than success, or an error.

        :param limit: seconds without data after which the call fails.
        :param note_arriving: called once the head of the answer is here.
        """
        limits = aiohttp.ClientTimeout(
            total=limit + ARRIVING_SECONDS, connect=limit, sock_read=limit
        )
        try:
            async with self._session.get(
                f'{self._base}{path}', params=query, timeout=limits
            ) as response:
                if note_arriving is not None:
                    note_arriving()
                era = self._read_era(response)
                if response.status != OK:
                    return response.status
                rows = decode_answer(
                    await read_body(response, limit=LARGE_BODY_BYTES)
                )
                return msgspec.structs.replace(rows, era=era)
        except TimeoutError as error:
            return StoreSilent(
                detail=f'no answer within {limit} s: {error!r}',
                overdue=CALL_SECONDS,
            )
        except (aiohttp.ClientError, OSError, UnreadableError) as error:
            return StoreSilent(detail=repr(error))

    async def _ask_for_changes(
        self, query: Mapping[str, str], wait: float
    ) -> tuple[WireRows | int | StoreSilent, float]:
        """Ask once, or by overlapping calls if they do not wait.

        :return: the answer, and the seconds after which its call was sent.
        """
        if wait:
            return await self._ask('/rows-feed', query, wait + CALL_SECONDS), 0
        answer, sent_after = await call_overlapping(
            lambda note_arriving: self._ask(
                '/rows-feed', query, CALL_SECONDS, note_arriving
            ),
            every=OVERLAP_SECONDS,
        )
        if isinstance(answer, StoreSilent) and answer.overdue:
            # Later calls are not answered either.
            answer = dataclasses.replace(answer, overdue=OVERLAP_SECONDS)
        return answer, sent_after


def _read_failure(answer: int | StoreSilent) -> StoreSilent:
    if isinstance(answer, int):
        return StoreSilent(detail=f'status {answer}')
    return answer
