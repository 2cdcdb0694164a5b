"""A look-up that crashes each worker that runs it comes again and again."""

import asyncio
import os
import pathlib
from typing import ClassVar

from aiohttp import web

from review.clients import Client
from review.harness import (
    BROKEN,
    HELD,
    CannotRunError,
    Record,
    Site,
    make_config,
    make_plain_service,
    make_route,
    now,
    run_case,
)
from review.workers import ATTEMPT, EXPECTED, STAMP

WORKERS = 3
POISON = '/lookups/poison'
METHOD = os.environ.get('METHOD', 'GET')
WORK_SECONDS = 0.03
# A crashed worker starts again after this time, with a new id.
DOWN_SECONDS = 3.0
# Its former entry is removed after three liveness intervals of silence.
LAPSE_SECONDS = 3.6
COMES_AGAIN_SECONDS = 1.5
PLAY_SECONDS = 30.0
CONTACT_SECONDS = 3.0
# Third crash, and the retries that the rule allows after it.
CRASHES = 3
RETRIES = 3


class CrashingWorker:
    """Worker that crashes when it begins to run one request.

    :ivar poisoned: times at which that request began to run, of all workers.
    """

    poisoned: ClassVar[list[float]] = []

    def __init__(self, *, number: int, record: Record, trouble: bool) -> None:
        self._number = number
        self._start = 0
        self._record = record
        self._trouble = trouble
        self._app = web.Application()
        self._app.router.add_route('*', '/{path:.*}', self._answer)
        self._address = ''
        self._transports: set[asyncio.Transport] = set()
        self._ending: set[asyncio.Task[None]] = set()

    @property
    def _name(self) -> str:
        return f'i-{self._number}-{self._start}'

    async def open(self, site: Site) -> None:
        """Listen and register in the store."""
        self._site = site
        self._address = await site.serve(self._app)
        self._register()

    def _register(self) -> None:
        self._site.store.put(
            'servers',
            self._name,
            {
                'service': 'plain',
                'address': self._address,
                'zone': 'milano-a',
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
                'cold_left_ms': 0,
                'born': 1_700_000_000_000 + round(now() * 1000),
                'seq': 1,
            },
        )

    async def _answer(self, request: web.Request) -> web.Response:
        attempt = request.headers[ATTEMPT]
        marks = {ATTEMPT: attempt}
        if request.headers.get(EXPECTED, self._name) != self._name:
            return web.Response(status=421, headers=marks)
        await request.read()
        self._record.add(
            'run', worker=self._name, attempt=attempt, path=request.raw_path
        )
        if request.raw_path == POISON:
            self.poisoned.append(now())
            if self._trouble:
                await self._crash()
                return web.Response()
        if request.transport is not None:
            self._transports.add(request.transport)
        await asyncio.sleep(WORK_SECONDS)
        marks[STAMP] = f'{self._name}.{attempt}'
        return web.Response(body=f'{attempt} done'.encode(), headers=marks)

    async def _crash(self) -> None:
        self._record.add('crash', worker=self._name)
        await self._site.stop_listening(self._address)
        self._site.reset_connections(self._address)
        for coming in (self._restart(), self._lapse(self._name)):
            task = asyncio.create_task(coming)
            self._ending.add(task)

    async def _restart(self) -> None:
        await asyncio.sleep(DOWN_SECONDS)
        self._start += 1
        await self._site.listen_again(self._address)
        self._register()
        self._record.add('restart', worker=self._name)

    async def _lapse(self, name: str) -> None:
        await asyncio.sleep(LAPSE_SECONDS)
        self._site.store.drop('servers', name)


async def play(site: Site, trouble: bool) -> int:
    """Send sound look-ups, and the one that crashes workers."""
    for number in range(WORKERS):
        worker = CrashingWorker(
            number=number, record=site.record, trouble=trouble
        )
        await worker.open(site)
    site.store.put(
        'op',
        'config',
        make_config(
            1,
            routes=[make_route('idempotent', '/lookups/', 'plain')],
            services=[make_plain_service('plain')],
            tenants=[{'name': 'parents', 'api_keys': ['key-1']}],
        ),
    )
    names = ('edge-1', 'edge-2')
    for name in names:
        site.prepare(name)
        site.start(name)
    for name in names:
        await site.await_ready(name)
    await asyncio.sleep(CONTACT_SECONDS)
    ends_at = now() + PLAY_SECONDS
    served, _ = await asyncio.gather(
        send_sound(site, names, ends_at), send_poison(site, names, ends_at)
    )
    if not served:
        raise CannotRunError('no sound request was served')
    poisoned = CrashingWorker.poisoned
    late = (
        [
            time
            for time in poisoned
            if time > poisoned[CRASHES - 1] + CONTACT_SECONDS
        ]
        if trouble and len(poisoned) >= CRASHES
        else []
    )
    site.record.add(
        'verdict',
        sound_served=served,
        crashes=len(poisoned) if trouble else 0,
        reached_late=len(late),
    )
    return BROKEN if len(late) > RETRIES else HELD


async def send_sound(site: Site, names: tuple[str, ...], ends_at: float) -> int:
    """Send sound look-ups; return how many were served."""
    clients = [
        Client(address=site.callers[name], key='key-1', record=site.record)
        for name in names
    ]
    served = number = 0
    while now() < ends_at:
        number += 1
        answer = await clients[number % len(clients)].send(
            METHOD, f'/lookups/{number}', f's{number}'
        )
        served += answer.status == 200
        await asyncio.sleep(0.1)
    for client in clients:
        client.close()
    return served


async def send_poison(
    site: Site, names: tuple[str, ...], ends_at: float
) -> None:
    """Send the request that crashes workers, at one daemon after another."""
    number = 0
    while now() < ends_at:
        client = Client(
            address=site.callers[names[number % len(names)]],
            key='key-1',
            record=site.record,
        )
        await client.send(METHOD, POISON, f'p{number}')
        client.close()
        number += 1
        await asyncio.sleep(COMES_AGAIN_SECONDS)


run_case(play, pathlib.Path(__file__).parent)
