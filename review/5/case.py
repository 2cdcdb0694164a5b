"""Clients send their bodies compressed, with the header that says so."""

import gzip
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

REQUESTS = 20


async def play(site: Site, trouble: bool) -> int:
    """Send bodies and compare them with those that the worker got."""
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
    client = Client(
        address=site.callers['edge-1'], key='key-1', record=site.record
    )
    served, changed = 0, []
    for number in range(REQUESTS):
        attempt = f'a{number}'
        body = b'{"charge": 12, "currency": "EUR"}' * (number + 1)
        headers = ''
        if trouble:
            body = gzip.compress(body)
            headers = 'Content-Encoding: gzip\r\n'
        answer = await client.send(
            'POST', f'/charges/{number}', attempt, body, headers=headers
        )
        served += answer.status == 200
        site.record.add('sent-body', attempt=attempt, bytes=len(body))
        if worker.bodies.get(attempt) not in {None, body}:
            changed.append(attempt)
    client.close()
    if not worker.bodies:
        raise CannotRunError('no request reached the worker')
    site.record.add('verdict', served=served, run_with_other_body=changed)
    return BROKEN if changed else HELD


run_case(play, pathlib.Path(__file__).parent)
