"""Exchange of the operators' rows between the daemons of a failure domain.

Load pattern: all daemons of a failure domain ask one of them. That daemon
sends a desired state of thousands of routes to each of the others over the
narrow link of its host.
"""

import functools
import zlib
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform import names
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRow,
    StoreRows,
    StoreSilent,
)

PATH: Final = '/operators'
AFTER: Final = 'after'
WAIT: Final = 'wait'
PART: Final = 'part'
SERVICES: Final = 'services'
PACKED: Final = 'packed'
# A daemon whose rows were confirmed longer ago has lost the store.
LONGEST_AGE_SECONDS: Final = 2.0
# Added to the requested wait; allows for a busy daemon of the same failure
# domain.
SILENT_SECONDS: Final = 0.4
# Wait for a daemon that is still at its own first read because all daemons
# start together.
FIRST_READING_SECONDS: Final = 1.2
# Added to the requested wait; allows for a long answer that is still
# arriving.
CALL_SECONDS: Final = 1.5
# Level of zlib. Routes are similar, so the lowest level already gives most of
# the saving.
PACKING_LEVEL: Final = 1
# Cached results; several daemons ask for the same rows, with or without
# routes.
ROWS_PACKED: Final = 4


class _TooEarlyError(web.HTTPClientError):
    """The first read of the table is still in progress."""

    status_code = HTTPStatus.TOO_EARLY


class RelayedRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row, without content or packed content if it was deleted.

    :param packed: content compressed by zlib, for daemons that request it.
    """

    key: str
    content: bytes | None = None
    packed: bytes | None = None


class RelayedRows(msgspec.Struct, frozen=True, kw_only=True):
    """Rows as one daemon has them.

    :param age: seconds between the confirmation of the rows and the arrival
        of the request; negative if they were confirmed after it.
    :param rows_age: seconds for which the oldest of these rows may have been
        in the store.
    :param known_age: seconds since the rows were known to be complete; None
        from older releases.
    :param waited: seconds between the request and this answer; zero from
        older releases.
    """

    rows: tuple[RelayedRow, ...]
    revision: int
    age: float
    rows_age: float
    known_age: float | None = None
    waited: float = 0


def build_row_routes(cache: RowCache) -> list[web.RouteDef]:
    """Build the routes that send cached rows to other daemons."""

    async def send_rows(request: web.Request) -> web.Response:
        arrived_at = read_boot_clock()
        if cache.revision is None:
            await cache.await_change(float(request.query.get(WAIT, 0)))
        _check_fresh(cache)
        answer = await _find_rows(cache, request.query)
        _check_fresh(cache)
        if isinstance(answer, HistoryGone):
            raise web.HTTPGone
        message = RelayedRows(
            rows=tuple(_encode_row(row, request.query) for row in answer.rows),
            revision=answer.revision,
            age=arrived_at - cache.confirmed_at,
            rows_age=answer.rows_age,
            known_age=answer.known_age,
            waited=read_boot_clock() - arrived_at,
        )
        return web.Response(
            body=msgspec.json.encode(message), content_type='application/json'
        )

    return [web.get(PATH, send_rows)]


def _check_fresh(cache: RowCache) -> None:
    """Reject the request if the cached rows are not fresh.

    :raises HTTPException: the rows may not be the newest, or none have been
        read yet.
    """
    if cache.revision is None:
        raise _TooEarlyError
    if cache.is_cut_off or _read_freshness(cache) < 0:
        raise web.HTTPServiceUnavailable


def _read_freshness(cache: RowCache) -> float:
    """Return the seconds for which the rows are still fresh."""
    return cache.confirmed_at + LONGEST_AGE_SECONDS - read_boot_clock()


async def _find_rows(
    cache: RowCache, query: Mapping[str, str]
) -> StoreRows | HistoryGone:
    if AFTER not in query:
        return cache.list_all()
    after = int(query[AFTER])
    answer = cache.list_after(after)
    if isinstance(answer, StoreRows) and not answer.rows:
        wait = min(float(query[WAIT]), _read_freshness(cache))
        await cache.await_change(wait)
        answer = cache.list_after(after)
    return answer


async def fetch_rows(
    *,
    session: ClientSession,
    address: str,
    after: int | None,
    wait: float,
    services_only: bool,
) -> StoreRows | HistoryGone | StoreSilent:
    """Fetch rows from another daemon.

    :param address: ``ip:port``.
    :param after: revision after which changes are wanted; None: all rows.
    :param wait: seconds after which an answer about changes is empty.
    :param services_only: leave out of desired states the routes and client
        accounts, which only daemons with callers need.
    """
    query = {PACKED: '1'}
    if services_only:
        query[PART] = SERVICES
    if after is None:
        wait = FIRST_READING_SECONDS
    else:
        query[AFTER] = str(after)
    query[WAIT] = str(wait)
    limits = ClientTimeout(
        total=wait + CALL_SECONDS,
        sock_connect=SILENT_SECONDS,
        sock_read=wait + SILENT_SECONDS,
    )
    sent_at = read_boot_clock()
    try:
        async with session.get(
            f'http://{address}{PATH}', params=query, timeout=limits
        ) as response:
            if response.status == HTTPStatus.GONE:
                return HistoryGone()
            if response.status != HTTPStatus.OK:
                return StoreSilent(
                    detail=f'{address}: {response.status}',
                    is_reading=response.status == HTTPStatus.TOO_EARLY,
                )
            body = await read_body(response, limit=LARGE_BODY_BYTES)
            message = msgspec.json.decode(body, type=RelayedRows)
            rows = tuple(_decode_row(row) for row in message.rows)
    except (ClientError, OSError) as error:
        return StoreSilent(detail=f'{address}: {error!r}')
    except (msgspec.DecodeError, zlib.error) as error:
        return StoreSilent(detail=f'{address}: unreadable, {error!r}')
    transit_seconds = read_boot_clock() - sent_at - message.waited
    return StoreRows(
        rows=rows,
        revision=message.revision,
        age=message.age,
        rows_age=message.rows_age + transit_seconds,
        known_age=_read_known_age(message) + transit_seconds,
    )


def _read_known_age(message: RelayedRows) -> float:
    if message.known_age is None:
        return max(message.age, 0)
    return message.known_age


def _encode_row(row: StoreRow, query: Mapping[str, str]) -> RelayedRow:
    content = row.content
    if content is None:
        return RelayedRow(key=row.key)
    if query.get(PART) == SERVICES and row.key == names.DESIRED_KEY:
        content = _remove_routes(content)
    if PACKED in query:
        return RelayedRow(key=row.key, packed=_pack(content))
    return RelayedRow(key=row.key, content=content)


def _decode_row(row: RelayedRow) -> StoreRow:
    if row.packed is None:
        return StoreRow(key=row.key, content=row.content)
    return StoreRow(key=row.key, content=zlib.decompress(row.packed))


@functools.lru_cache(maxsize=ROWS_PACKED)
def _pack(content: bytes) -> bytes:
    return zlib.compress(content, PACKING_LEVEL)


@functools.lru_cache(maxsize=ROWS_PACKED)
def _remove_routes(content: bytes) -> bytes:
    """Return a desired state without routes and client accounts."""
    try:
        wire = msgspec.json.decode(content, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError:
        # The receiver logs content that it can't decode, with the row's key.
        return content
    return msgspec.json.encode(
        {**wire, 'routes': [], 'tenants': None, 'limits': None}
    )
