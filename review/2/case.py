"""A worker crashes while it runs a change that may run once."""

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
REQUESTS = 40
# The worker crashes in each such request that it runs.
CRASH_EACH = 13
DOWN_SECONDS = 1.0
REFUSALS = frozenset((408, 421, 429, 503))


async def play(site: Site, trouble: bool) -> int:
    """Send the requests; compare the refused ones with those that ran."""
    worker = PlainWorker(name='i-1', record=site.record)
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
        worker.crash_each = CRASH_EACH
        worker.down_seconds = DOWN_SECONDS
    client = Client(
        address=site.callers['edge-1'], key='key-1', record=site.record
    )
    served, refused = 0, []
    for number in range(REQUESTS):
        attempt = f'a{number}'
        answer = await client.send(
            METHOD, f'/charges/{number}', attempt, b'charge 12 EUR'
        )
        served += answer.status == 200
        if answer.status in REFUSALS:
            refused.append(attempt)
        if answer.status != 200:
            await asyncio.sleep(DOWN_SECONDS + 0.5)
    client.close()
    await asyncio.sleep(1)
    if served < REQUESTS / 2:
        raise CannotRunError(f'{served} of {REQUESTS} requests served')
    wrong = [attempt for attempt in refused if worker.runs[attempt]]
    site.record.add('verdict', served=served, refused_though_run=wrong)
    return BROKEN if wrong else HELD


run_case(play, pathlib.Path(__file__).parent)
