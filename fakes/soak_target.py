"""HTTP stand-ins of the targets of a soak: plain services and engines."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import web

from fakes.soak_body import make_body
from fakes.soak_records import Ending, Records, TargetRun
from fakes.soak_silence import TargetSilence
from fakes.soak_stage import SoakStage
from fakes.soak_trouble import EngineCall, EngineTrouble

EVENTS = 8
EVENT_SECONDS = 0.06
# The head of a plain answer, and each half of its body.
PLAIN_STEPS = 3
PLAIN_SECONDS = 0.013
LOAD_SECONDS = 0.3
LAYERS = 16
MODEL = 'drafts'
OTHER_MODEL = 'sketches'
# A request for this path crashes each plain target that runs it.
CRASH_PATH = '/lookups/crash'
# Longer than daemons wait before they count the target as silent.
CRASH_SECONDS = 1.8


def make_answer(attempt: str, path: str) -> str:
    """Build the body of the answer of a plain target."""
    return f'{attempt} {path}'


class SoakTarget:
    """One target, either a plain service or a model engine.

    :ivar version: version of the loaded weights; zero for none.
    :ivar has_engine: false for a plain target.
    :ivar stage: staged chunks of the next version.
    :ivar closed: true while weights load; requests are refused.
    :ivar born: number of the incarnation.
    :ivar is_leaving: true while the store tells that it leaves; it serves on.
    :ivar note_crash: called as the target crashes; none if it never does.
    :ivar orders: number of orders accepted.
    :ivar silence: silences after which the target goes on.
    :ivar trouble: trouble with calls of the loader.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        domain: str,
        records: Records,
        version: int = 0,
        model: str = MODEL,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.records = records
        self.version = version
        self.model = model
        self.has_engine = bool(version)
        self._running: dict[int, tuple[web.Request, TargetRun]] = {}
        self._calls: set[asyncio.Task[web.Response]] = set()
        self.stage = SoakStage(model)
        self.closed = False
        self.born = 1
        self.is_leaving = False
        self.note_crash: Callable[[], None] | None = None
        self.orders = 0
        self.silence = TargetSilence(target=name)
        self.trouble = EngineTrouble(
            seed=f'{seed} {name}', target=name, records=records
        )

    def describe_weights(self) -> dict[str, object]:
        """Describe the loaded weights, as in reports and rows of engines."""
        version = self.version
        return {
            'models': [{'name': self.model, 'version': version}],
            'layers': {'from': 0, 'to': LAYERS, 'version': version},
        }

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
        expected = request.headers.get('Ragwortcourse-Expect-Version')
        if expected not in {None, str(self.version)}:
            marks['Ragwortcourse-Instance-Id'] = self.name
            marks['Ragwortcourse-Weight-Versions'] = str(self.version)
            return web.Response(status=421, headers=marks)
        if self.closed:
            marks['Ragwortcourse-Not-Executed'] = '1'
            return web.Response(status=503, headers=marks)
        if request.path == CRASH_PATH and self.note_crash is not None:
            await self._crash(request, attempt, self.note_crash)
            return web.Response()
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

    async def _crash(
        self,
        request: web.Request,
        attempt: str,
        note_crash: Callable[[], None],
    ) -> None:
        """End under a request, unless its connection has ended before."""
        self.records.crash_runs.append((attempt, time.monotonic()))
        await asyncio.sleep(CRASH_SECONDS)
        transport = request.transport
        if transport is None or transport.is_closing() or self.closed:
            return
        self.closed = True
        self.records.crashes.append(time.monotonic())
        transport.abort()
        self._abort_runs()
        note_crash()

    async def _report(self, request: web.Request) -> web.Response:
        await self.silence.keep()
        return web.json_response(
            {
                **self.describe_weights(),
                'busy': self.closed,
                'running': len(self._running),
                'seq': self.orders,
            }
        )

    async def _read_stage(self, request: web.Request) -> web.Response:
        if 'num' not in request.query:
            return web.json_response({'held': sorted(self.stage.contents)})
        content = self.stage.contents.get(int(request.query['num']))
        self.trouble.note_read()
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def _write_stage(self, request: web.Request) -> web.Response:
        index, content = int(request.query['num']), await request.read()
        if request.match_info['model'] != self.model:
            # Engines keep the chunks of each model apart.
            return web.Response()
        return await self._perform(self._stage(index, content))

    async def _stage(self, index: int, content: bytes) -> web.Response:
        await self.trouble.delay(EngineCall.WRITE)
        self.stage.write(index, content)
        self.trouble.rot_later(self.stage.rot, index)
        return web.Response()

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order.get('model', self.model) != self.model:
            self.records.spoilt_loads.append(
                f'{self.name} at {time.monotonic():.2f}: {order}'
            )
            return web.Response(status=409)
        return await self._perform(
            self._load(order['version'], order.get('expected_rev'))
        )

    async def _load(self, version: int, expected: int | None) -> web.Response:
        await self.trouble.delay(EngineCall.ORDER)
        if self.closed or expected not in {None, self.orders}:
            return web.Response(status=409)
        if version == self.version:
            return web.Response()
        self.orders += 1
        self.records.loads += 1
        spoilt = self.stage.find_spoilt(version)
        if spoilt:
            self.records.spoilt_loads.append(
                f'{self.name} at {time.monotonic():.2f}: '
                f'version {version}, chunks {spoilt}'
            )
        self.closed = True
        self._abort_runs()
        await asyncio.sleep(LOAD_SECONDS)
        self.version, self.closed = version, False
        return web.Response(status=202)

    async def _perform(
        self, call: Coroutine[Any, Any, web.Response]
    ) -> web.Response:
        """Perform a call to its end, also after its client has left."""
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return await asyncio.shield(task)

    def _abort_runs(self) -> None:
        """Break off the requests in progress, as a load order does."""
        for request, run in self._running.values():
            run.ending = Ending.CUT
            if request.transport is not None:
                request.transport.abort()
