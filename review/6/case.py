"""Two models get new weights with the same version number."""

import asyncio
import hashlib
import itertools
import json
import time

from aiohttp import web

from fakes.ports import LOOPBACK, pick_address
from review import rig

MODELS = ('model-a', 'model-b')
CHUNKS, LAYERS = 4, 16
LOAD_SECONDS = 0.3
EVENTS, EVENT_SECONDS = 5, 0.02
# The second model is named so long after the first.
APART_SECONDS = 3.0
WATCH_SECONDS = 14.0
PAUSE_SECONDS = 0.1


def make_piece(model, version, index):
    """Make the bytes of a piece, which only this piece has."""
    return f'{model} {version} {index} '.encode() * 40


def list_pieces(model, version):
    """List the pieces of a version."""
    return [make_piece(model, version, index) for index in range(CHUNKS)]


def build_origin(record):
    """Build the origin of the weights of all models."""

    async def read_manifest(request):
        model = request.match_info['model']
        version = int(request.query['version'])
        record.note('manifest from the origin', model=model, version=version)
        digests = [
            hashlib.sha256(piece).hexdigest()
            for piece in list_pieces(model, version)
        ]
        answer = {'model': model, 'version': version, 'digests': digests}
        return web.json_response(answer)

    async def read_piece(request):
        model, query = request.match_info['model'], request.query
        return web.Response(
            body=make_piece(model, int(query['version']), int(query['num']))
        )

    app = web.Application()
    app.router.add_get('/manifest/{model}', read_manifest)
    app.router.add_get('/piece/{model}', read_piece)
    return app


class Engine:
    """Model worker that loads what is staged, and checks nothing.

    :ivar ran: requests that ran, with the model that they named and what
        lies in the memory of the engine.
    """

    def __init__(self, *, fleet, record, name, service, model):
        self.name = name
        self.service = service
        self.address = pick_address()
        self.ran = []
        self._fleet = fleet
        self._record = record
        self._born = int(time.time() * 1000)
        self._staged = {model: dict(enumerate(list_pieces(model, 1)))}
        self._held = model, 1, list_pieces(model, 1)
        self._seq = 0
        self._busy = False

    def build_app(self):
        """Build the worker's own interface."""
        app = web.Application()
        app.router.add_get('/report', self._report)
        app.router.add_get('/stage-get/{model}', self._read)
        app.router.add_put('/stage-put/{model}', self._write)
        app.router.add_post('/order', self._order)
        app.router.add_route('*', '/{path:.*}', self._run)
        return app

    def write_row(self):
        """Write the entry in the store."""
        entry = {
            **self._describe(),
            'service': self.service,
            'address': self.address,
            'zone': 'near-a',
            'slots': 16,
            'state': 'ready',
            'cold_left_ms': 0,
        }
        self._fleet.store.put('servers', self.name, entry)

    def _describe(self):
        model, version, _ = self._held
        return {
            'models': [{'name': model, 'version': version, 'adapters': []}],
            'layers': {'from': 0, 'to': LAYERS, 'version': version},
            'seq': self._seq,
            'born': self._born,
        }

    async def _report(self, request):
        return web.json_response(
            {**self._describe(), 'busy': self._busy, 'running': 0}
        )

    async def _read(self, request):
        staged = self._staged.get(request.match_info['model'], {})
        if 'num' not in request.query:
            return web.json_response({'held': sorted(staged)})
        piece = staged.get(int(request.query['num']))
        return (
            web.Response(status=404)
            if piece is None
            else web.Response(body=piece)
        )

    async def _write(self, request):
        staged = self._staged.setdefault(request.match_info['model'], {})
        staged[int(request.query['num'])] = await request.read()
        return web.Response()

    async def _order(self, request):
        order = await request.json()
        self._record.note('order', engine=self.name, order=json.dumps(order))
        staged = self._staged.get(order['model'], {})
        if self._busy or order.get('expected_rev', self._seq) != self._seq:
            return web.Response(status=409)
        if self._held[:2] == (order['model'], order['version']):
            return web.Response()
        if len(staged) < CHUNKS:
            return web.Response(status=409)
        self._seq += 1
        self._busy = True
        loaded = [staged[index] for index in sorted(staged)]
        asyncio.get_running_loop().call_later(
            LOAD_SECONDS, self._finish, order, loaded
        )
        return web.Response(status=202)

    def _finish(self, order, loaded):
        self._held = order['model'], order['version'], loaded
        self._busy = False
        self.write_row()

    async def _run(self, request):
        attempt = request.headers[rig.ATTEMPT]
        marks = {rig.ATTEMPT: attempt}
        expected = request.headers.get('Ragwortcourse-Expect-Instance')
        version = request.headers.get('Ragwortcourse-Expect-Version')
        held = str(self._held[1])
        if expected != self.name or version not in {None, held}:
            marks['Ragwortcourse-Instance-Id'] = self.name
            return web.Response(status=421, headers=marks)
        if self._busy:
            marks['Ragwortcourse-Not-Executed'] = '1'
            return web.Response(status=503, headers=marks)
        model = request.headers['Ragwortcourse-Model']
        self.ran.append((attempt, model, self._held))
        marks['Ragwortcourse-Server-Stamp'] = f'{attempt}.stamp'
        marks['Ragwortcourse-Weight-Versions'] = held
        response = web.StreamResponse(headers=marks)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        for number in range(EVENTS):
            await asyncio.sleep(EVENT_SECONDS)
            event = f'id: {number}\ndata: {self._held[0]}\n\n'
            await response.write(event.encode())
        await response.write_eof()
        return response


async def serve(app, address):
    """Serve an application at an address."""
    runner = web.AppRunner(app, shutdown_timeout=0.2, access_log=None)
    await runner.setup()
    port = int(address.rpartition(':')[2])
    await web.TCPSite(runner, LOOPBACK, port).start()
    return runner


def make_service(name, model):
    """Make a service with engines of one model."""
    engine = {
        'slots': 16,
        'step_ms': 8.87,
        'per_seq_ms': 0.0388,
        'read_per_s': 19100.0,
        'stride': 5,
        'usual': {'prompt': 977, 'answer': 94},
        'models': [{'name': model}],
        'layers': LAYERS,
        'chunks': CHUNKS,
        'chunk_bytes': len(make_piece(model, 1, 0)),
    }
    return {'name': name, 'health_path': '/healthz', 'engine': engine}


async def main(record):
    """Name new weights of both models; look what requests run on."""
    fleet = rig.Fleet(record=record)
    origin = pick_address()
    runners = [await serve(build_origin(record), origin)]
    services = {model: f'service-{model[-1]}' for model in MODELS}
    routes = {model: f'drafts-{model[-1]}' for model in MODELS}
    try:
        fleet.put_config(
            *(
                rig.make_route(
                    routes[model],
                    'streaming',
                    timeout_ms=6000,
                    service=services[model],
                )
                for model in MODELS
            ),
            services=[
                *(make_service(services[model], model) for model in MODELS),
                {'name': 'origin', 'origin': origin, 'zone': 'near-a'},
            ],
        )
        engines = [
            Engine(
                fleet=fleet,
                record=record,
                name=f'i-{number}{model[-1]}',
                service=services[model],
                model=model,
            )
            for model in MODELS
            for number in (1, 2)
        ]
        for engine in engines:
            runners.append(await serve(engine.build_app(), engine.address))
            engine.write_row()
        await fleet.open('near-a', 'near-a', 'near-b')
        for engine in engines:
            fleet.add_loader(
                f'side-{engine.name}',
                'near-a',
                engine=engine.address,
                service=engine.service,
            )
        await asyncio.sleep(4)
        clients = rig.Clients(fleet=fleet, record=record)
        turns = itertools.cycle(sorted(fleet.fronts))

        async def ask(number, model):
            attempt = f'{model[-1]}{number:04d}'
            answer = await rig.call(
                fleet.fronts[next(turns)],
                'POST',
                f'/{routes[model]}/{attempt}',
                {
                    **rig.make_headers(attempt, deadline_ms=6060),
                    'Ragwortcourse-Model': model,
                    'Ragwortcourse-Token-Count': '100,25',
                },
                b'prompt',
                seconds=6,
            )
            clients.statuses[attempt] = answer.status
            record.note(
                'answered',
                attempt=attempt,
                model=model,
                status=answer.status,
                body=answer.detail or answer.body[:40],
            )

        async def name_weights():
            named = MODELS if rig.TROUBLE else MODELS[:1]
            for model in named:
                await asyncio.sleep(APART_SECONDS)
                fleet.store.put(
                    'op', f'version/{model}', {'model': model, 'version': 2}
                )
                record.note('weights named', model=model, version=2)

        clients.spawn(name_weights())
        for number in range(int(WATCH_SECONDS / PAUSE_SECONDS)):
            for model in MODELS:
                clients.spawn(ask(number, model))
            await asyncio.sleep(PAUSE_SECONDS)
        await clients.finish()
    finally:
        await fleet.close()
        for runner in runners:
            await runner.cleanup()
    wrong = []
    for engine in engines:
        for attempt, model, held in engine.ran:
            if held[2] != list_pieces(model, held[1]):
                wrong.append((attempt, engine.name, held[:2]))
                record.note(
                    'ran on the wrong weights',
                    attempt=attempt,
                    engine=engine.name,
                    asked=model,
                    held=held[:2],
                )
    for model in MODELS:
        record.say(f'{model}, answers by status: {clients.count(model[-1])}')
    record.say(
        f'{len(wrong)} requests ran on pieces that are not those of their '
        f'model: {wrong[:3]}'
    )
    if not clients.count(MODELS[0][-1]).get(200):
        raise rig.UnableError('no request was served')
    return rig.BROKEN if wrong else rig.HELD


if __name__ == '__main__':
    rig.run_case(main, __file__)
