"""A worker leaves just after both readers of a zone lost the store.

The third forwarder of the zone is in touch all the while.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_3 import (
    DRAIN_SECONDS,
    KEY,
    Site,
    Worker,
    find_readers,
    make_route,
    make_state,
    run_case,
)

FOLDER = pathlib.Path(__file__).resolve().parent
ZONE = 'milano-a'
NAMES = [f'edge-milano-a-{number}' for number in (1, 2, 3)]
# A release of another service: an entry changes each 0.3 s.
CHANGES = 14
CHANGE_SECONDS = 0.3
REQUESTS = 24
CHARGE: dict[str, object] = {
    'route_type': 'non_idempotent',
    'max_attempts': 1,
}
# The worker exits a little later than it has to serve, in the midst of these.
WORK_SECONDS = 0.5


async def play(site: Site, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    site.store.put(
        'op',
        'config',
        make_state(
            7,
            [
                make_route('huno90b', '/charges/', **CHARGE),
                make_route('fiwu23c', '/others/'),
            ],
            [KEY],
        ),
    )
    for number in range(3):
        await site.add_worker(
            Worker(name=f'i-{number}', service='huno90b', zone=ZONE)
        )
    replaced = [
        await site.add_worker(
            Worker(name=f'o-{number}', service='fiwu23c', zone=ZONE)
        )
        for number in range(CHANGES)
    ]
    for name in NAMES:
        (await site.add_forwarder(name, ZONE)).start()
    for name in NAMES:
        await site.wait_ready(name)
    await asyncio.sleep(3)
    readers = await find_readers(site, NAMES)
    follower = next(name for name in NAMES if name not in readers)
    for number in range(3):
        await site.ask(
            follower, f'before-{number}', path='/charges/1', method='POST'
        )
    for worker in replaced:
        worker.is_leaving = True
        site.store.put('servers', worker.name, worker.describe('draining'))
        await asyncio.sleep(CHANGE_SECONDS)
    if has_trouble:
        for name in readers:
            site.links[name].is_cut = True
        site.record.note(f'{readers} are partitioned from the store')
    await asyncio.sleep(0.1)
    leaving = site.workers['i-1']
    leaving.is_leaving = True
    site.store.put('servers', leaving.name, leaving.describe('draining'))
    acked_at = time.monotonic()
    site.record.note(f'the store acknowledges that {leaving.name} drains')
    await asyncio.sleep(DRAIN_SECONDS + 0.1)
    leaving.work_seconds = WORK_SECONDS
    sending = [
        asyncio.ensure_future(
            site.ask(
                follower, f'late-{number}', path='/charges/1', method='POST'
            )
        )
        for number in range(REQUESTS)
    ]
    await asyncio.sleep(WORK_SECONDS / 2)
    await leaving.stop()
    site.record.note(f'{leaving.name} exits')
    statuses = await asyncio.gather(*sending)
    late = [
        run
        for run in leaving.runs
        if run[0] > acked_at + DRAIN_SECONDS and run[1].startswith('late-')
    ]
    site.record.note(
        f'{len(late)} requests reached {leaving.name} later than '
        f'{DRAIN_SECONDS} s after the acknowledgement, from {follower}; '
        f'statuses {sorted(statuses)}'
    )
    return not late


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, play))
