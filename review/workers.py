"""Stand-ins of workers that answer as the platform's pages say."""

import asyncio
from collections import Counter

from aiohttp import web

from fakes.fleet_store import FleetStore
from review.harness import Record, Site

ATTEMPT = 'Ragwortcourse-Attempt-Id'
STAMP = 'Ragwortcourse-Server-Stamp'
EXPECTED = 'Ragwortcourse-Expect-Instance'


class PlainWorker:
    """Worker of a plain service.

    :ivar runs: how often each attempt began to run here.
    :ivar lose_each: the answer of each such request that ran is lost by a
        reset of its connection; zero for none.
    """

    def __init__(
        self,
        *,
        name: str,
        record: Record,
        service: str = 'plain',
        zone: str = 'milano-a',
        work_seconds: float = 0.03,
    ) -> None:
        self.name = name
        self.record = record
        self.service = service
        self.zone = zone
        self.work_seconds = work_seconds
        self.runs: Counter[str] = Counter()
        self.lose_each = 0
        self.address = ''
        self._app = web.Application()

    async def open(self, site: Site) -> None:
        """Listen and register in the store."""
        self._app.router.add_route('*', '/{path:.*}', self._answer)
        self.address = await site.serve(self._app)
        self.register(site.store)

    def note_run(self, attempt: str) -> None:
        """Note that a request begins to run here."""

    def register(self, store: FleetStore, **changes: object) -> None:
        """Write the entry of this worker."""
        store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
                'cold_left_ms': 0,
                'born': 1,
                'seq': 1,
                **changes,
            },
        )

    async def _answer(self, request: web.Request) -> web.Response:
        attempt = request.headers[ATTEMPT]
        marks = {ATTEMPT: attempt}
        if request.headers.get(EXPECTED, self.name) != self.name:
            return web.Response(status=421, headers=marks)
        body = await request.read()
        self.runs[attempt] += 1
        self.note_run(attempt)
        self.record.add(
            'run',
            worker=self.name,
            attempt=attempt,
            method=request.method,
            path=request.raw_path,
            bytes=len(body),
            time=self.runs[attempt],
        )
        await asyncio.sleep(self.work_seconds)
        ran = sum(self.runs.values())
        if self.lose_each and ran % self.lose_each == 0:
            self.record.add('answer-lost', worker=self.name, attempt=attempt)
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        marks[STAMP] = f'{self.name}.{attempt}'
        return web.Response(body=f'{attempt} done'.encode(), headers=marks)
