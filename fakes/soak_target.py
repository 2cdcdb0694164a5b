"""HTTP stand-ins of the targets of a soak: plain services and engines."""

import asyncio
import time

from aiohttp import web

from fakes.soak_body import make_body
from fakes.soak_records import Ending, Records, TargetRun
from fakes.soak_silence import TargetSilence

EVENTS = 8
EVENT_SECONDS = 0.06
# The head of a plain answer, and each half of its body.
PLAIN_STEPS = 3
PLAIN_SECONDS = 0.013
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
    :ivar stage: staged chunks of the next version, by index.
    :ivar closed: true while weights load; requests are refused.
    :ivar silence: silences after which the target goes on.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        domain: str,
        records: Records,
        version: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.records = records
        self.version = version
        self.has_engine = bool(version)
        self._running: dict[int, tuple[web.Request, TargetRun]] = {}
        self.stage: dict[int, bytes] = {}
        self.closed = False
        self.silence = TargetSilence(target=name)

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
        body = await request.read()
        run = TargetRun(
            attempt=attempt,
            target=self.name,
            domain=self.domain,
            account=request.headers.get('Ragwortcourse-Tenant', ''),
            path=request.path,
            key_seen='Authorization' in request.headers,
            body_intact=body == make_body(attempt),
            version=self.version,
            at=time.monotonic(),
        )
        self.records.runs.append(run)
        self._running[id(run)] = request, run
        try:
            response = await self._answer(request, run, marks)
        except ConnectionError:
            # The connection was lost during a write.
            return web.Response()
        else:
            run.ending = Ending.COMPLETE
            return response
        finally:
            self._running.pop(id(run))
            run.ended_at = time.monotonic()
            if run.ending is Ending.OPEN:
                # The daemon closed the connection, was killed or cut off.
                run.ending = Ending.LEFT

    async def _answer(
        self, request: web.Request, run: TargetRun, marks: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=marks)
        if self.has_engine:
            first = int(request.headers.get('Last-Event-Id', -1)) + 1
            response.headers['Ragwortcourse-Weight-Versions'] = str(run.version)
            response.content_type = 'text/event-stream'
            pieces = [f'id: {each}\ndata: w\n\n' for each in range(EVENTS)]
            pieces, seconds = pieces[first:], EVENT_SECONDS
        else:
            answer = make_answer(run.attempt, run.path)
            half = len(answer) // 2
            response.content_length = len(answer)
            pieces, seconds = [answer[:half], answer[half:]], PLAIN_SECONDS
        steps = len(pieces) + 1
        await self.silence.keep_in_run(run, 0, seconds, steps)
        await response.prepare(request)
        for step, piece in enumerate(pieces, start=1):
            await self.silence.keep_in_run(run, step, seconds, steps)
            await response.write(piece.encode())
        await response.write_eof()
        return response

    async def _report(self, request: web.Request) -> web.Response:
        await self.silence.keep()
        held = {'from': 0, 'to': LAYERS, 'version': self.version}
        return web.json_response(
            {
                'busy': self.closed,
                'running': len(self._running),
                'layers': held,
            }
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
        self._abort_runs()
        await asyncio.sleep(LOAD_SECONDS)
        self.version, self.closed = version, False
        return web.Response(status=202)

    def _abort_runs(self) -> None:
        """Break off the requests in progress, as a load order does."""
        for request, run in self._running.values():
            run.ending = Ending.CUT
            if request.transport is not None:
                request.transport.abort()
