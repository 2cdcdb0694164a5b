"""Client of the exchange of rows between daemons."""

import math
import zlib
from http import HTTPStatus
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.row_relay import (
    AFTER,
    AGE,
    ERA,
    HOLD,
    PACKED,
    PART,
    SERVICES,
    WAIT,
    RelayedRow,
    RelayedRows,
)
from ragwortcourse.platform.store_position import StorePosition, is_restored
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRow,
    StoreRows,
    StoreSilent,
)
from ragwortcourse.unreadable import UnreadableError

# Added to the requested wait; allows for a busy daemon of the same failure
# domain.
SILENT_SECONDS: Final = 0.4
# Wait for a daemon that is still at its own first read because all daemons
# start together.
FIRST_READING_SECONDS: Final = 1.2
# Added to the requested wait; allows for a long answer that is still
# arriving.
CALL_SECONDS: Final = 1.5


async def fetch_rows(  # noqa: WPS211  # options of the query
    *,
    session: ClientSession,
    address: str,
    path: str,
    after: StorePosition | None,
    era: int,
    wait: float,
    hold: float = 0,
    services_only: bool = False,
    longest_age: float | None = None,
) -> StoreRows | HistoryGone | StoreSilent:
    """Fetch rows from another daemon.

    :param address: ``ip:port``.
    :param path: path of the table's rows.
    :param after: position after which changes are wanted; None: all rows.
    :param era: rows of an earlier era are not wanted.
    :param wait: seconds after which an answer about changes is empty.
    :param hold: seconds for which the daemon may hold the request until its
        rows are fresh again.
    :param services_only: leave out of desired states the routes and client
        accounts, which only daemons with callers need.
    :param longest_age: age of the rows in seconds, above which the daemon has
        to confirm them first; infinite to take them as they are, None if the
        daemon has a limit of its own.
    """
    query = {PACKED: '1', ERA: str(era if after is None else after.era)}
    if services_only:
        query[PART] = SERVICES
    if after is None:
        wait = hold or FIRST_READING_SECONDS
    else:
        query[AFTER] = str(after.revision)
    query[WAIT] = str(wait)
    if longest_age is not None:
        query[AGE] = str(longest_age)
    if hold:
        query[HOLD] = str(hold)
        wait += hold
    limits = ClientTimeout(
        total=wait + CALL_SECONDS,
        sock_connect=SILENT_SECONDS,
        sock_read=wait + SILENT_SECONDS,
    )
    sent_at = read_boot_clock()
    try:
        async with session.get(
            f'http://{address}{path}', params=query, timeout=limits
        ) as response:
            if response.status == HTTPStatus.GONE:
                return HistoryGone()
            if response.status != HTTPStatus.OK:
                return StoreSilent(
                    detail=f'{address}: {response.status}',
                    is_reading=response.status == HTTPStatus.TOO_EARLY,
                    is_cut_off=(
                        response.status == HTTPStatus.SERVICE_UNAVAILABLE
                    ),
                    is_behind=response.status == HTTPStatus.GATEWAY_TIMEOUT,
                )
            body = await read_body(response, limit=LARGE_BODY_BYTES)
            message = decode_json(body, RelayedRows)
            rows = tuple(_decode_row(row) for row in message.rows)
    except (ClientError, OSError) as error:
        return StoreSilent(detail=f'{address}: {error!r}')
    except (UnreadableError, zlib.error) as error:
        return StoreSilent(detail=f'{address}: unreadable, {error!r}')
    if is_restored(message.era, era):
        return StoreSilent(
            detail=f'{address}: rows of the earlier era {message.era}',
            is_reading=True,
        )
    transit_seconds = read_boot_clock() - sent_at - message.waited
    return StoreRows(
        rows=rows,
        revision=message.revision,
        era=message.era,
        age=message.age,
        rows_age=message.rows_age + transit_seconds,
        known_age=_read_known_age(message) + transit_seconds,
        regained_ago=(
            math.inf
            if message.regained_ago is None
            else message.regained_ago + transit_seconds
        ),
    )


def _read_known_age(message: RelayedRows) -> float:
    if message.known_age is None:
        return max(message.age, 0)
    return message.known_age


def _decode_row(row: RelayedRow) -> StoreRow:
    if row.packed is None:
        return StoreRow(key=row.key, content=row.content, held=row.held)
    content = zlib.decompress(row.packed)
    return StoreRow(key=row.key, content=content, held=row.held)
