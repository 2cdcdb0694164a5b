"""Stand-in model engine: ``python -m fakes.engine --listen IP:PORT``."""

import asyncio
import contextlib
from collections.abc import Mapping
from typing import NoReturn

import aiohttp
import click
import msgspec
from aiohttp import web

from fakes.engine_faults import EngineFaults
from fakes.engine_load import EngineLoad
from fakes.memory_engine import MemoryEngine
from ragwortcourse.engines.engine import (
    EngineAnswer,
    EngineAnswerLost,
    EngineBrokenError,
    EngineOrder,
    EngineRequest,
    EngineSilent,
    OrderConfirmed,
    OrderOutcome,
    OrderRefused,
    StartOutcome,
)
from ragwortcourse.engines.http_engine import ADAPTER, RESUME_FROM
from ragwortcourse.identifiers import (
    AdapterName,
    AttemptId,
    ModelName,
    VersionName,
)
from ragwortcourse.messages import headers as names

MAX_BODY_BYTES = 64 * 1024 * 1024
CONFLICT = 409
UNAVAILABLE = 503


def build_engine_app(
    engine: MemoryEngine, *, collector: str = ''
) -> web.Application:
    """Build the HTTP interface of a stand-in engine.

    :param collector: URL that receives a span for each request; empty to
        send no spans.
    """
    app = web.Application(client_max_size=MAX_BODY_BYTES)

    runs: dict[AttemptId, asyncio.Task[object]] = {}

    async def run(request: web.Request) -> web.StreamResponse:
        engine_request = decode_request(request, await request.read())
        task = asyncio.ensure_future(answer(request, engine_request))
        runs[engine_request.attempt] = task
        try:
            return await task
        finally:
            task.cancel()
            if runs.get(engine_request.attempt) is task:
                runs.pop(engine_request.attempt)

    async def answer(
        request: web.Request, engine_request: EngineRequest
    ) -> web.StreamResponse:
        if collector:
            await post_span(collector, request.headers)
        # An engine without resume support ignores the header.
        sent = request.headers.get(RESUME_FROM) if engine.can_resume else None
        if sent is None:
            outcome = await engine.start(engine_request)
        else:
            outcome = await engine.resume(engine_request, int(sent))
        return await send_outcome(request, outcome, sent)

    async def cancel(request: web.Request) -> web.Response:
        attempt = AttemptId(request.match_info['attempt'])
        known = await engine.cancel(attempt)
        if attempt in runs:
            # The cancellation is confirmed only once the work has stopped.
            runs[attempt].cancel()
            await asyncio.wait([runs[attempt]])
        return web.Response(status=204 if known else UNAVAILABLE)

    async def describe(request: web.Request) -> web.Response:
        state = await engine.describe()
        if isinstance(state, EngineSilent):
            break_off(request)
        return build_json(state)

    async def store(request: web.Request) -> web.Response:
        place = request.match_info
        adapter = request.query.get('adapter')
        outcome = await engine.store_chunk(
            ModelName(place['model']),
            VersionName(place['version']),
            None if adapter is None else AdapterName(adapter),
            int(place['index']),
            await request.read(),
        )
        return answer_order(request, outcome)

    async def order(request: web.Request) -> web.Response:
        message = msgspec.json.decode(await request.read(), type=EngineOrder)
        return answer_order(request, await engine.order(message))

    async def fault(request: web.Request) -> web.Response:
        engine.faults = msgspec.json.decode(
            await request.read(), type=EngineFaults
        )
        return web.Response(status=204)

    async def count(request: web.Request) -> web.Response:
        return build_json(dict(engine.runs))

    async def show_peak(request: web.Request) -> web.Response:
        return build_json(engine.load.peak)

    app.add_routes(
        [
            web.get('/peak', show_peak),
            web.get('/state', describe),
            web.post('/orders', order),
            web.put('/chunks/{model}/{version}/{index}', store),
            web.delete('/attempts/{attempt}', cancel),
            web.put('/faults', fault),
            web.get('/runs', count),
            web.route('*', '/{path:.*}', run),
        ]
    )
    return app


def decode_request(request: web.Request, body: bytes) -> EngineRequest:
    """Convert an HTTP request to a request of the engine port."""
    version = request.headers.get(names.MODEL_VERSION)
    adapter = request.headers.get(ADAPTER)
    return EngineRequest(
        attempt=AttemptId(request.headers.get(names.REQUEST_ID, '')),
        method=request.method,
        path=request.raw_path,
        headers={name.lower(): text for name, text in request.headers.items()},
        body=body,
        version=None if version is None else VersionName(version),
        adapter=None if adapter is None else AdapterName(adapter),
        priority=int(request.headers.get(names.PRIORITY, '0')),
    )


async def send_outcome(
    request: web.Request, outcome: StartOutcome, sent: str | None
) -> web.StreamResponse:
    """Send an answer, or close the connection if the answer is lost.

    :param sent: value of the resume header, which the answer repeats.
    """
    if isinstance(outcome, EngineAnswerLost):
        break_off(request)
    if not isinstance(outcome, EngineAnswer):
        # A listening process can't simulate an unreachable host, so the
        # answer is a 503.
        return web.Response(status=UNAVAILABLE)
    response = web.StreamResponse(
        status=outcome.status, headers=outcome.headers
    )
    if sent is not None:
        response.headers[RESUME_FROM] = sent
    if outcome.attempt is not None:
        response.headers[names.REQUEST_ID] = outcome.attempt
    if outcome.version is not None:
        response.headers[names.MODEL_VERSION] = outcome.version
    if outcome.instance is not None:
        response.headers[names.ENGINE_INSTANCE] = outcome.instance
    try:
        await response.prepare(request)
        async for piece in outcome.body:
            await response.write(piece)
        await response.write_eof()
    except EngineBrokenError:
        break_off(request)
    finally:
        await close(outcome)
    return response


async def close(answer: EngineAnswer) -> None:
    """Stop producing an answer that is no longer read."""
    body = answer.body
    if hasattr(body, 'aclose'):
        await body.aclose()


def break_off(request: web.Request) -> NoReturn:
    """Abort the connection.

    :raises ConnectionResetError: always, so that nothing more is sent.
    """
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError('connection aborted by a simulated fault')


def answer_order(request: web.Request, outcome: OrderOutcome) -> web.Response:
    """Answer an order, or abort the connection if the answer is lost."""
    if isinstance(outcome, OrderConfirmed):
        return web.Response()
    if isinstance(outcome, OrderRefused):
        return build_json(outcome, status=CONFLICT)
    break_off(request)


def build_json(message: object, *, status: int = 200) -> web.Response:
    """Encode a message as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        content_type='application/json',
    )


async def post_span(collector: str, headers: Mapping[str, str]) -> None:
    """Send a collector the trace context of a request.

    A collector that is not reachable is ignored.
    """
    span = {
        'name': 'engine.request',
        'traceparent': headers.get(names.TRACE_PARENT, ''),
    }
    with contextlib.suppress(aiohttp.ClientError):
        async with (
            aiohttp.ClientSession() as session,
            session.post(f'{collector}/spans', json=span),
        ):
            pass


@click.command()
@click.option('--listen', required=True, help='ip:port')
@click.option('--model', default='', help='model held from the start')
@click.option('--version', default='', help='version held from the start')
@click.option('--collector', default='', help='URL of a span collector')
@click.option('--cold', default=EngineLoad().cold)
@click.option('--warm', default=EngineLoad().warm)
@click.option('--latency', default=EngineLoad().latency, help='seconds')
@click.option('--pace', default=EngineLoad().pace, help='seconds')
@click.option('--ignore-fencing', is_flag=True)
def main(
    listen: str,
    model: str,
    version: str,
    collector: str,
    cold: int,
    warm: int,
    latency: float,
    pace: float,
    ignore_fencing: bool,
) -> None:
    """Run a stand-in model engine until it is told to stop."""
    host, _, port = listen.rpartition(':')

    async def build() -> web.Application:
        engine = MemoryEngine(
            checks_fencing=not ignore_fencing,
            load=EngineLoad(cold=cold, warm=warm, latency=latency, pace=pace),
        )
        if model and version:
            engine.versions.install(ModelName(model), VersionName(version))
        return build_engine_app(engine, collector=collector)

    web.run_app(build(), host=host, port=int(port), print=None)


if __name__ == '__main__':
    main()
