"""Stand-ins of workers that answer as the platform's pages say."""

import asyncio
from collections import Counter

from aiohttp import web

from fakes.fleet_store import FleetStore
from review.harness import Record, Site

ATTEMPT = 'Ragwortcourse-Attempt-Id'
STAMP = 'Ragwortcourse-Server-Stamp'
NOT_EXECUTED = 'Ragwortcourse-Not-Executed'
EXPECTED = 'Ragwortcourse-Expect-Instance'


class PlainWorker:
    """Worker of a plain service.

    :ivar runs: how often each attempt began to run here.
    :ivar bodies: body that each attempt had here.
    :ivar lose_each: the answer of each such request that ran is lost by a
        reset of its connection; zero for none.
    :ivar crash_each: the worker crashes in each such request that it runs;
        zero for none.
    :ivar down_seconds: time from a crash to the next start.
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
        self.bodies: dict[str, bytes] = {}
        self.lose_each = 0
        self.crash_each = 0
        self.down_seconds: float = 0
        self.address = ''
        self._app = web.Application()
        self._site: Site | None = None
        self._restarting: asyncio.Task[None] | None = None

    async def open(self, site: Site) -> None:
        """Listen and register in the store."""
        self._site = site
        self._app.router.add_route('*', '/{path:.*}', self._answer)
        self.address = await site.serve(self._app)
        self.register(site.store)

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
        self.bodies[attempt] = body
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
        if self.crash_each and ran % self.crash_each == 0:
            await self._crash(request)
            return web.Response()
        if self.lose_each and ran % self.lose_each == 0:
            self.record.add('answer-lost', worker=self.name, attempt=attempt)
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        marks[STAMP] = f'{self.name}.{attempt}'
        return web.Response(body=f'{attempt} done'.encode(), headers=marks)

    async def _crash(self, request: web.Request) -> None:
        """Reset the channel and refuse new ones until the next start."""
        if self._site is None:
            return
        self.record.add('crash', worker=self.name)
        await self._site.stop_listening(self.address)
        if request.transport is not None:
            request.transport.abort()
        self._restarting = asyncio.create_task(self._restart(self._site))

    async def _restart(self, site: Site) -> None:
        await asyncio.sleep(self.down_seconds)
        await site.listen_again(self.address)
        self.record.add('restart', worker=self.name)
