"""Exchange of the store's rows between the daemons of a failure domain.

Load pattern: all daemons of a failure domain ask one or two of them. Such a
daemon sends a desired state of thousands of routes to each of the others over
the narrow link of its host.
"""

import functools
import math
import zlib
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import web

from ragwortcourse.bounded import Era, Seconds, WholeNumber
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform import names
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_freshness import Confirm, RowFreshness
from ragwortcourse.platform.store_position import UNKNOWN_ERA, StorePosition
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRow,
    StoreRows,
)
from ragwortcourse.unreadable import UnreadableError

OPERATORS_PATH: Final = '/operators'
AFTER: Final = 'after'
ERA: Final = 'era'
WAIT: Final = 'wait'
HOLD: Final = 'hold'
AGE: Final = 'age'
PART: Final = 'part'
SERVICES: Final = 'services'
PACKED: Final = 'packed'
# A daemon whose rows were confirmed longer ago has lost the store.
LONGEST_AGE_SECONDS: Final = 2.0
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
    :param held: true if the store lacks the row since it was restored. Older
        releases keep such a row until they read all rows again.
    """

    key: str
    content: bytes | None = None
    packed: bytes | None = None
    held: bool = False


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
    :param era: era of the revision; ``UNKNOWN_ERA`` from older releases.
    :param regained_ago: seconds since the sender could reach the store again;
        None if it never lost the store, and from older releases.
    """

    rows: tuple[RelayedRow, ...]
    revision: WholeNumber
    age: Seconds
    rows_age: Seconds
    known_age: Seconds | None = None
    waited: Seconds = 0
    era: Era = UNKNOWN_ERA
    regained_ago: Seconds | None = None


def build_row_routes(
    cache: RowCache,
    *,
    path: str = OPERATORS_PATH,
    longest_age: float = LONGEST_AGE_SECONDS,
    confirm: Confirm | None = None,
) -> list[web.RouteDef]:
    """Build the routes that send cached rows to other daemons.

    :param longest_age: age of the rows in seconds, above which they are not
        passed on.
    :param confirm: asks the store whether the rows are the newest, for daemons
        that need younger rows.
    """
    freshness = RowFreshness(
        cache=cache, longest_age=longest_age, confirm=confirm
    )

    async def send_rows(request: web.Request) -> web.Response:
        arrived_at = read_boot_clock()
        query = request.query
        limit = _read_limit(query)
        if _is_behind(cache, query):
            await cache.await_change(float(query.get(WAIT, 0)))
        await freshness.regain(limit, hold=float(query.get(HOLD, 0)))
        _check_fresh(freshness, query)
        answer = await _find_rows(freshness, query)
        if isinstance(answer, StoreRows) and not answer.rows:
            await freshness.regain(limit, hold=0)
            answer = _list_rows(cache, query)
        _check_fresh(freshness, query)
        if isinstance(answer, HistoryGone):
            raise web.HTTPGone
        message = RelayedRows(
            rows=tuple(_encode_row(row, query) for row in answer.rows),
            revision=answer.revision,
            age=arrived_at - cache.confirmed_at,
            rows_age=answer.rows_age,
            known_age=answer.known_age,
            waited=read_boot_clock() - arrived_at,
            era=answer.era,
            regained_ago=_read_regained_ago(cache),
        )
        return web.Response(
            body=msgspec.json.encode(message), content_type='application/json'
        )

    return [web.get(path, send_rows)]


def _read_regained_ago(cache: RowCache) -> float | None:
    seconds = read_boot_clock() - cache.regained_at
    return None if math.isinf(seconds) else seconds


def _is_behind(cache: RowCache, query: Mapping[str, str]) -> bool:
    """Tell whether the rows are yet to be read in the era of the request."""
    position = cache.position
    return position is None or position.era < _read_era(query)


def _read_era(query: Mapping[str, str]) -> int:
    return int(query.get(ERA, UNKNOWN_ERA))


def _read_limit(query: Mapping[str, str]) -> float | None:
    """Read the longest age that the asking daemon accepts, in seconds."""
    return float(query[AGE]) if AGE in query else None


def _check_fresh(freshness: RowFreshness, query: Mapping[str, str]) -> None:
    """Reject the request if the cached rows are not fresh.

    :raises HTTPException: the rows may not be the newest, or none have been
        read yet.
    """
    cache = freshness.cache
    if _is_behind(cache, query):
        raise _TooEarlyError
    if cache.is_refused:
        raise web.HTTPServiceUnavailable
    if cache.is_cut_off or freshness.read_seconds_left(_read_limit(query)) < 0:
        # Not 503, as the store is not lost: a call that waits for a change
        # confirms no rows until its end, and a store that does not answer
        # this daemon may answer others.
        raise web.HTTPGatewayTimeout


async def _find_rows(
    freshness: RowFreshness, query: Mapping[str, str]
) -> StoreRows | HistoryGone:
    cache = freshness.cache
    answer = _list_rows(cache, query)
    if AFTER in query and isinstance(answer, StoreRows) and not answer.rows:
        wait = float(query[WAIT])
        if AGE not in query:
            wait = min(wait, freshness.read_seconds_left(None))
        await cache.await_change(wait)
        answer = _list_rows(cache, query)
    return answer


def _list_rows(
    cache: RowCache, query: Mapping[str, str]
) -> StoreRows | HistoryGone:
    if AFTER not in query:
        return cache.list_all()
    return cache.list_after(
        StorePosition(era=_read_era(query), revision=int(query[AFTER]))
    )


def _encode_row(row: StoreRow, query: Mapping[str, str]) -> RelayedRow:
    content = row.content
    if content is None:
        return RelayedRow(key=row.key)
    if query.get(PART) == SERVICES and row.key == names.DESIRED_KEY:
        content = _remove_routes(content)
    if PACKED in query:
        return RelayedRow(key=row.key, packed=_pack(content), held=row.held)
    return RelayedRow(key=row.key, content=content, held=row.held)


@functools.lru_cache(maxsize=ROWS_PACKED)
def _pack(content: bytes) -> bytes:
    return zlib.compress(content, PACKING_LEVEL)


@functools.lru_cache(maxsize=ROWS_PACKED)
def _remove_routes(content: bytes) -> bytes:
    """Return a desired state without routes and client accounts."""
    try:
        wire = decode_json(content, dict[str, msgspec.Raw])
    except UnreadableError:
        # The receiver logs content that it can't decode, with the row's key.
        return content
    return msgspec.json.encode(
        {**wire, 'routes': [], 'tenants': None, 'limits': None}
    )
