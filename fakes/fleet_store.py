"""A stand-in of the row store that the users' platform runs."""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import time
from collections.abc import Callable, Iterator

from aiohttp import web

OK = 200
GONE = 410
REFUSED = 503
ERA_HEADER = 'Store-Era'
# Tables that operators and targets write; what a restore lost of them is
# written again.
OUTSIDE_TABLES = frozenset(('op', 'servers'))
# Limits of one page of a table.
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """Latest state of one row.

    :ivar value: content in base64; none after the row was deleted.
    """

    table: str
    key: str
    value: str | None
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Transaction:
    """Change of one row and when it was made."""

    row: Row
    at: float


class FleetStore:
    """Versioned rows with a change feed, and switches that make calls fail.

    :param read_clock: reads monotonic seconds.
    :ivar era: value of the header that counts restores; none: no header.

    :ivar down: true to refuse every call with 503.
    :ivar silent: true to leave every call without an answer.
    :ivar failing: number of next calls to refuse, by table.
    :ivar clock_from: monotonic seconds at which the clock of the store read
        zero.
    :ivar delay: seconds by which answers of the change feed are delayed.
    :ivar arrival_delay: seconds by which calls are delayed before the store
        handles them.
    :ivar calls: paths of all calls received.
    :ivar page_rows: rows in one page of a table at most.
    :ivar after_page: called after each page of a table that is not the last.
    """

    def __init__(
        self, *, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._read_clock = read_clock
        self.down = False
        self.silent = False
        self.delay: float = 0
        self.arrival_delay: float = 0
        self.clock_from: float = 0
        self.failing: dict[str, int] = {}
        self.calls: list[str] = []
        self.page_rows = PAGE_ROWS
        self.after_page: Callable[[], None] = lambda: None
        self.era: int | str | None = 1
        self.revision = 0
        self._restores = 0
        self._log: list[Transaction] = []
        self._unwritten: dict[tuple[str, str], Row] = {}
        self._rewriting: asyncio.Task[None] | None = None
        self._rows: dict[tuple[str, str], Row] = {}
        self._oldest = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row; a value other than bytes is encoded as JSON."""
        content = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self._change(table, key, base64.b64encode(content).decode())

    def drop(self, table: str, key: str) -> None:
        """Delete a row."""
        self._change(table, key, None)

    def forget_history(self) -> None:
        """Discard the change history but keep the rows.

        The feed then answers 410 to a reader at an older revision.
        """
        self._oldest = self.revision

    def restore(self, seconds: float, *, rewrite_after: float) -> None:
        """Go back to a copy of some seconds ago.

        Operators and targets write again what the restore lost. Rows of the
        system are lost.

        :param rewrite_after: seconds until the lost rows are written again.
        """
        copied_at = self._read_clock() - seconds
        kept = [each for each in self._log if each.at <= copied_at]
        lost = self._log[len(kept) :]
        self._log = kept
        self._rows = {(each.row.table, each.row.key): each.row for each in kept}
        self.revision = len(kept)
        self._oldest = min(self._oldest, self.revision)
        self._restores += 1
        if isinstance(self.era, int):
            self.era += 1
        self._wake()
        self._unwritten.update(
            ((each.row.table, each.row.key), each.row)
            for each in lost
            if each.row.table in OUTSIDE_TABLES
        )
        if self._rewriting is not None:
            self._rewriting.cancel()
        self._rewriting = asyncio.ensure_future(self._rewrite(rewrite_after))

    def read(self, table: str, key: str) -> bytes | None:
        """Return the content of a row; none if the row does not exist."""
        row = self._rows.get((table, key))
        if row is None or row.value is None:
            return None
        return base64.b64decode(row.value)

    def build_app(self) -> web.Application:
        """Build the HTTP application that serves the store."""
        app = web.Application()
        app.add_routes(self.build_routes())
        return app

    def build_routes(self) -> list[web.RouteDef]:
        """Build the HTTP routes of the store."""
        return [
            web.get('/rows-get', self._get),
            web.get('/rows-feed', self._feed),
            web.post('/rows-tx', self._write),
        ]

    def _change(self, table: str, key: str, value: str | None) -> None:
        self.revision += 1
        row = Row(table=table, key=key, value=value, version=self.revision)
        self._rows[table, key] = row
        self._unwritten.pop((table, key), None)
        self._log.append(Transaction(row=row, at=self._read_clock()))
        self._wake()

    async def _rewrite(self, seconds: float) -> None:
        """Write lost rows again unless they were written meanwhile."""
        await asyncio.sleep(seconds)
        for row in tuple(self._unwritten.values()):
            self._change(row.table, row.key, row.value)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, table: str, after: int) -> Iterator[dict[str, object]]:
        for row in sorted(self._rows.values(), key=lambda row: row.version):
            if row.table == table and row.version > after:
                shown: dict[str, object] = {
                    'table': table,
                    'part': '',
                    'key': row.key,
                    'row_version': row.version,
                }
                if row.value is None:
                    yield {**shown, 'deleted': True}
                else:
                    yield {**shown, 'value': row.value}

    async def _check(self, request: web.Request) -> None:
        self.calls.append(request.path)
        if self.arrival_delay:
            await asyncio.sleep(self.arrival_delay)
        if self.silent:
            await asyncio.Event().wait()
        table = request.query.get('table', '')
        if self.failing.get(table):
            self.failing[table] -= 1
            raise web.HTTPServiceUnavailable
        if self.down:
            raise web.HTTPServiceUnavailable

    async def _get(self, request: web.Request) -> web.Response:
        await self._check(request)
        first_key = request.query.get('from', '')
        rows = sorted(
            (
                row
                for row in self._list(request.query['table'], 0)
                if 'deleted' not in row and str(row['key']) >= first_key
            ),
            key=lambda row: str(row['key']),
        )
        page = self._cut_page(rows)
        answer = self._answer(page, has_more=len(page) < len(rows))
        if len(page) < len(rows):
            self.after_page()
        return answer

    def _cut_page(
        self, rows: list[dict[str, object]]
    ) -> list[dict[str, object]]:
        """Return the first rows, as many as one answer holds."""
        sizes = itertools.accumulate(len(str(row)) for row in rows)
        fitting = sum(size <= PAGE_BYTES for size in sizes)
        return rows[: max(min(fitting, self.page_rows), 1)]

    async def _feed(self, request: web.Request) -> web.Response:
        await self._check(request)
        after = int(request.query['after_rev'])
        if not self._oldest <= after <= self.revision:
            return web.Response(status=GONE, headers=self._build_headers())
        restores = self._restores
        rows = await self.await_rows(
            request.query['table'], after, int(request.query['wait_ms']) / 1000
        )
        if restores != self._restores:
            # Waiting calls end with the process that runs the store.
            raise web.HTTPServiceUnavailable
        answer = self._answer(rows)
        await asyncio.sleep(self.delay)
        return answer

    async def await_rows(
        self, table: str, after: int, seconds: float
    ) -> list[dict[str, object]]:
        """Wait until rows of a table have changed or the time is up.

        :param after: revision after which rows are listed.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                restores = self._restores
                while restores == self._restores and not any(
                    True for _ in self._list(table, after)
                ):
                    await self._changed.wait()
        # A row may have changed as the time was up.
        return list(self._list(table, after))

    async def _write(self, request: web.Request) -> web.Response:
        await self._check(request)
        change = await request.json()
        for row in change['write']:
            self._change(row['table'], row['key'], row['value'])
        for row in change['remove']:
            self._change(row['table'], row['key'], None)
        return self._answer([])

    def _answer(
        self, rows: list[dict[str, object]], *, has_more: bool = False
    ) -> web.Response:
        return web.json_response(
            {
                'rows': rows,
                'has_more': has_more,
                'row_version': self.revision,
                'now_ms': (self._read_clock() - self.clock_from) * 1000,
            },
            headers=self._build_headers(),
        )

    def _build_headers(self) -> dict[str, str]:
        return {} if self.era is None else {ERA_HEADER: str(self.era)}
