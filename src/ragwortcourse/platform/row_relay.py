"""Rows of the operators' table between the daemons of a failure domain."""

import asyncio
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, web

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
# A daemon whose rows were confirmed longer ago has lost the store itself.
LONGEST_AGE_SECONDS: Final = 2.0
# Beyond the asked wait: a busy daemon of the same failure domain.
CALL_SECONDS: Final = 0.4


class RelayedRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row; no content where it was dropped."""

    key: str
    content: bytes | None


class RelayedRows(msgspec.Struct, frozen=True, kw_only=True):
    """Rows as one daemon has them.

    :param age: seconds between the confirmation and the arrival of the
        question; negative where it was confirmed after that.
    :param rows_age: seconds for which the oldest of these rows may have been
        there.
    :param known_age: seconds since which nothing newer is missing.
    :param waited: seconds between the question and this answer.
    """

    rows: tuple[RelayedRow, ...]
    revision: int
    age: float
    rows_age: float
    known_age: float
    waited: float


def build_row_routes(cache: RowCache) -> list[web.RouteDef]:
    """Route of the port for other daemons."""

    async def send_rows(request: web.Request) -> web.Response:
        arrived_at = read_boot_clock()
        answer = await _find_rows(cache, request.query)
        age = read_boot_clock() - cache.confirmed_at
        if cache.revision is None or age > LONGEST_AGE_SECONDS:
            raise web.HTTPServiceUnavailable
        if isinstance(answer, HistoryGone):
            raise web.HTTPGone
        reduced = request.query.get(PART) == SERVICES
        message = RelayedRows(
            rows=tuple(
                _encode_row(row, reduced=reduced) for row in answer.rows
            ),
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


async def _find_rows(
    cache: RowCache, query: Mapping[str, str]
) -> StoreRows | HistoryGone:
    if AFTER not in query:
        return cache.list_all()
    after = int(query[AFTER])
    answer = cache.list_after(after)
    if isinstance(answer, StoreRows) and not answer.rows:
        await cache.await_change(float(query[WAIT]))
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
    :param wait: seconds after which the answer is empty.
    :param services_only: leave out of desired states what a daemon that
        serves no callers does not need.
    """
    query = {PART: SERVICES} if services_only else {}
    limit = CALL_SECONDS
    if after is not None:
        query |= {AFTER: str(after), WAIT: str(wait)}
        limit += wait
    sent_at = read_boot_clock()
    try:
        async with (
            asyncio.timeout(limit),
            session.get(f'http://{address}{PATH}', params=query) as response,
        ):
            if response.status == HTTPStatus.GONE:
                return HistoryGone()
            if response.status != HTTPStatus.OK:
                return StoreSilent(detail=f'{address}: {response.status}')
            message = msgspec.json.decode(
                await response.read(), type=RelayedRows
            )
    except TimeoutError:
        return StoreSilent(detail=f'{address}: no answer within {limit} s')
    except (ClientError, OSError, msgspec.DecodeError) as error:
        return StoreSilent(detail=f'{address}: {error!r}')
    on_its_way = read_boot_clock() - sent_at - message.waited
    return StoreRows(
        rows=tuple(
            StoreRow(key=row.key, content=row.content) for row in message.rows
        ),
        revision=message.revision,
        age=message.age,
        rows_age=message.rows_age + on_its_way,
        known_age=message.known_age + on_its_way,
    )


def _encode_row(row: StoreRow, *, reduced: bool) -> RelayedRow:
    content = row.content
    if reduced and content is not None and row.key == names.DESIRED_KEY:
        content = _keep_services(content)
    return RelayedRow(key=row.key, content=content)


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
