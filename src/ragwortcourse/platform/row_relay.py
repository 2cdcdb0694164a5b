"""Rows of the operators' table between the daemons of a failure domain.

Load pattern: all daemons of a failure domain ask one of them, which sends a
desired state of thousands of routes to each over its own narrow link.
"""

import functools
import zlib
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

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
# A daemon whose rows were confirmed longer ago has lost the store itself.
LONGEST_AGE_SECONDS: Final = 2.0
# Beyond the asked wait: a busy daemon of the same failure domain.
SILENT_SECONDS: Final = 0.4
# For the first reading of a daemon that starts with those that ask it.
FIRST_READING_SECONDS: Final = 1.2
# Beyond the asked wait: a long answer that goes on arriving.
CALL_SECONDS: Final = 1.5
# Level of zlib: routes resemble each other, and most is had at once.
PACKING_LEVEL: Final = 1
# Rows that several daemons ask for, whole and without routes.
ROWS_PACKED: Final = 4


class _TooEarlyError(web.HTTPClientError):
    """The first reading is still under way."""

    status_code = HTTPStatus.TOO_EARLY


class RelayedRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row; neither content nor packed content where it was dropped.

    :param packed: content compressed by zlib, for daemons that asked so.
    """

    key: str
    content: bytes | None = None
    packed: bytes | None = None


class RelayedRows(msgspec.Struct, frozen=True, kw_only=True):
    """Rows as one daemon has them.

    :param age: seconds between the confirmation and the arrival of the
        question; negative where it was confirmed after that.
    :param rows_age: seconds for which the oldest of these rows may have been
        there.
    :param known_age: seconds since which nothing newer is missing; none from
        older releases.
    :param waited: seconds between the question and this answer; zero from
        older releases.
    """

    rows: tuple[RelayedRow, ...]
    revision: int
    age: float
    rows_age: float
    known_age: float | None = None
    waited: float = 0


def build_row_routes(cache: RowCache) -> list[web.RouteDef]:
    """Route of the port for other daemons."""

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
    """Send those away that do better elsewhere.

    :raises HTTPException: the rows can't be told to be the newest, or none
        are here yet.
    """
    if cache.revision is None:
        raise _TooEarlyError
    if cache.is_cut_off or _read_freshness(cache) < 0:
        raise web.HTTPServiceUnavailable


def _read_freshness(cache: RowCache) -> float:
    """Seconds for which the rows are still fresh."""
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
    """Rows that another daemon has.

    :param after: revision after which changes are wanted; none: all rows.
    :param wait: seconds after which an answer about changes is empty.
    :param services_only: leave out of desired states what a daemon that
        serves no callers does not need.
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
            body = await response.read()
            message = msgspec.json.decode(body, type=RelayedRows)
            rows = tuple(_decode_row(row) for row in message.rows)
    except (ClientError, OSError) as error:
        return StoreSilent(detail=f'{address}: {error!r}')
    except (msgspec.DecodeError, zlib.error) as error:
        return StoreSilent(detail=f'{address}: unreadable, {error!r}')
    on_its_way = read_boot_clock() - sent_at - message.waited
    return StoreRows(
        rows=rows,
        revision=message.revision,
        age=message.age,
        rows_age=message.rows_age + on_its_way,
        known_age=_read_known_age(message) + on_its_way,
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
        content = _keep_services(content)
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
def _keep_services(content: bytes) -> bytes:
    """A desired state without routes and client accounts."""
    try:
        wire = msgspec.json.decode(content, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError:
        # Its reader reports what it can't decode, with the row's key.
        return content
    return msgspec.json.encode(
        {**wire, 'routes': [], 'tenants': None, 'limits': None}
    )
