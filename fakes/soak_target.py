"""HTTP stand-ins of the targets of a soak: plain services and engines."""

import asyncio
import contextlib
import time

from aiohttp import web

from fakes.soak_records import Records, TargetRun

EVENTS = 8
EVENT_SECONDS = 0.06
PLAIN_SECONDS = 0.04
LOAD_SECONDS = 0.3
CHUNKS = 6
CHUNK_BYTES = 8192
LAYERS = 16
MODEL = 'drafts'


def make_piece(version: int, index: int) -> bytes:
    """Build the bytes of a chunk of weights, distinct by version and index."""
    return f'{version}/{index}/'.encode().ljust(CHUNK_BYTES, b'w')


def make_answer(attempt: str, path: str) -> str:
    """Build the body of the answer of a plain target."""
    return f'{attempt} {path}'


class SoakTarget:
    """One target, either a plain service or a model engine.

    :ivar version: version of the loaded weights; zero for none.
    :ivar has_engine: false for a plain target.
    :ivar running: number of requests in progress.
    :ivar stage: staged chunks of the next version, by index.
    :ivar closed: true while weights load; requests are refused.
    """

    def __init__(
        self, *, name: str, domain: str, records: Records, version: int = 0
    ) -> None:
        self.name = name
        self.domain = domain
        self.records = records
        self.version = version
        self.has_engine = bool(version)
        self.running = 0
        self.stage: dict[int, bytes] = {}
        self.closed = False

    def build_app(self) -> web.Application:
        """Build the HTTP application that serves the target."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/report', self._report),
                web.get('/stage-get/{model}', self._read_stage),
                web.put('/stage-put/{model}', self._write_stage),
                web.post('/order', self._order),
                web.route('*', '/{path:.*}', self._run),
            ]
        )
        return app

    async def _run(self, request: web.Request) -> web.StreamResponse:
        attempt = request.headers['Ragwortcourse-Attempt-Id']
        marks = {
            'Ragwortcourse-Attempt-Id': attempt,
            'Ragwortcourse-Server-Stamp': f'{attempt}-stamp',
        }
        if request.headers.get('Ragwortcourse-Expect-Instance') != self.name:
            return web.Response(status=421, headers=marks)
        if self.closed:
            marks['Ragwortcourse-Not-Executed'] = '1'
            return web.Response(status=503, headers=marks)
        self.records.runs.append(
            TargetRun(
                attempt=attempt,
                target=self.name,
                domain=self.domain,
                account=request.headers.get('Ragwortcourse-Tenant', ''),
                path=request.path,
                key_seen='Authorization' in request.headers,
                version=self.version,
                at=time.monotonic(),
            )
        )
        self.running += 1
        try:
            if self.has_engine:
                return await self._stream(request, marks)
            await asyncio.sleep(PLAIN_SECONDS)
            return web.Response(
                text=make_answer(attempt, request.path), headers=marks
            )
        finally:
            self.running -= 1

    async def _stream(
        self, request: web.Request, marks: dict[str, str]
    ) -> web.StreamResponse:
        marks['Ragwortcourse-Weight-Versions'] = str(self.version)
        response = web.StreamResponse(headers=marks)
        response.content_type = 'text/event-stream'
        # The daemon may have been killed, or its connection reset.
        with contextlib.suppress(ConnectionError):
            await self._send_events(request, response)
        return response

    async def _send_events(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        first = int(request.headers.get('Last-Event-Id', -1)) + 1
        await response.prepare(request)
        for number in range(first, EVENTS):
            await asyncio.sleep(EVENT_SECONDS)
            if self.closed:
                # A load order aborts the requests in progress.
                if request.transport is not None:
                    request.transport.abort()
                return
            await response.write(f'id: {number}\ndata: w\n\n'.encode())
        await response.write_eof()

    async def _report(self, request: web.Request) -> web.Response:
        held = {'from': 0, 'to': LAYERS, 'version': self.version}
        return web.json_response(
            {'busy': self.closed, 'running': self.running, 'layers': held}
        )

    async def _read_stage(self, request: web.Request) -> web.Response:
        if 'num' not in request.query:
            return web.json_response({'held': sorted(self.stage)})
        content = self.stage.get(int(request.query['num']))
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def _write_stage(self, request: web.Request) -> web.Response:
        self.stage[int(request.query['num'])] = await request.read()
        return web.Response()

    async def _order(self, request: web.Request) -> web.Response:
        version = (await request.json())['version']
        whole = {index: make_piece(version, index) for index in range(CHUNKS)}
        if self.stage != whole:
            self.records.spoilt_loads.append(f'{self.name} {version}')
        self.closed = True
        await asyncio.sleep(LOAD_SECONDS)
        self.version, self.closed = version, False
        return web.Response(status=202)
