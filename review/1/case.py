"""Changes by PUT on a route of one run, beside answers that are lost."""

import asyncio
import os
import pathlib

from review.clients import Client
from review.harness import (
    BROKEN,
    HELD,
    CannotRunError,
    Site,
    make_config,
    make_plain_service,
    make_route,
    run_case,
)
from review.workers import PlainWorker

METHOD = os.environ.get('METHOD', 'PUT')
REQUESTS = 120
# One of two workers loses the answers of a tenth of the requests it ran.
LOSE_EACH = 10


async def play(site: Site, trouble: bool) -> int:
    """Send the requests and count the runs of each."""
    workers = [
        PlainWorker(name=name, record=site.record) for name in ('i-1', 'i-2')
    ]
    for worker in workers:
        await worker.open(site)
    site.store.put(
        'op',
        'config',
        make_config(
            1,
            routes=[make_route('non_idempotent', '/charges/', 'plain')],
            services=[make_plain_service('plain')],
            tenants=[{'name': 'parents', 'api_keys': ['key-1']}],
        ),
    )
    site.prepare('edge-1')
    site.start('edge-1')
    await site.await_ready('edge-1')
    if trouble:
        workers[0].lose_each = LOSE_EACH
    client = Client(
        address=site.callers['edge-1'], key='key-1', record=site.record
    )
    served = 0
    for number in range(REQUESTS):
        answer = await client.send(
            METHOD, f'/charges/{number}', f'a{number}', b'charge 12 EUR'
        )
        served += answer.status == 200
    client.close()
    await asyncio.sleep(1)
    if served < REQUESTS / 2:
        raise CannotRunError(f'{served} of {REQUESTS} requests served')
    total = workers[0].runs + workers[1].runs
    twice = sorted(attempt for attempt, runs in total.items() if runs > 1)
    site.record.add('verdict', served=served, run_twice=twice)
    return BROKEN if twice else HELD


run_case(play, pathlib.Path(__file__).parent)
