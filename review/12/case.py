"""A key is taken away while a forwarder reads the operators' table again.

The store has discarded its history. The table is larger than one answer of the
store, so that it takes two calls, each of its own moment.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_3 import (
    KEY,
    KEY_TAKEN_AWAY,
    REGION_BYTES_PER_SECOND,
    REVOKE_SECONDS,
    Line,
    Site,
    Worker,
    make_route,
    make_state,
    run_case,
)

FOLDER = pathlib.Path(__file__).resolve().parent
ZONE = 'padova-a'
NAMES = [f'edge-padova-a-{number}' for number in (1, 2, 3)]
# 240 routes of the site, and two times the 1,640 of its largest big_config.
IDLE_ROUTES = 240 + 2 * 1640
# Of the 0.6 s that the desired state takes on the line.
READING_SECONDS = 0.3
ROUNDS = 5


async def play(site: Site, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    routes = [make_route('huno90b', '/lookups/')]
    routes += [
        make_route('huno90b', f'/xapu{number}/ny95/')
        for number in range(IDLE_ROUTES)
    ]
    site.store.put('op', 'config', make_state(7, routes, [KEY, KEY_TAKEN_AWAY]))
    site.store.put(
        'op', 'version/daka510000', {'model': 'daka510000', 'version': 1}
    )
    for number in range(3):
        await site.add_worker(
            Worker(name=f'i-{number}', service='huno90b', zone=ZONE)
        )
    line = Line(rate=REGION_BYTES_PER_SECOND)
    for name in NAMES:
        (await site.add_forwarder(name, ZONE, line)).start()
    for name in NAMES:
        await site.wait_ready(name)
    await asyncio.sleep(3)
    for name in NAMES:
        status = await site.ask(
            name, f'before-{name}', path='/lookups/1', key=KEY_TAKEN_AWAY
        )
        if status != 200:
            raise RuntimeError(f'not served before the case: {status}')
    if has_trouble:
        site.store.is_deaf = True
        site.record.note('calls that wait for changes hear nothing')
    await asyncio.sleep(0.8)
    # The beat of a worker, whose entry changes.
    site.store.put(
        'servers', 'i-0', {**site.workers['i-0'].describe(), 'slots': 15}
    )
    await asyncio.sleep(0.2)
    if has_trouble:
        site.store.reads.clear()
        site.server.compact()
        site.record.note('the store discards its history and cuts its calls')
        while not site.store.reads['op']:
            await asyncio.sleep(0.005)
        await asyncio.sleep(READING_SECONDS)
    site.store.put('op', 'config', make_state(11, routes, [KEY]))
    acked_at = time.monotonic()
    site.record.note('the store acknowledges version 11 without the key')
    for name in NAMES:
        await site.wait_ready(name)
    await asyncio.sleep(
        max(acked_at + REVOKE_SECONDS + 0.5 - time.monotonic(), 0)
    )
    late: set[str] = set()
    for turn in range(ROUNDS):
        for name in NAMES:
            attempt = f'late-{turn}-{name}'
            late.add(attempt)
            await site.ask(name, attempt, path='/lookups/1', key=KEY_TAKEN_AWAY)
            await site.ask(name, f'good-{turn}-{name}', path='/lookups/1')
        await asyncio.sleep(2)
    ran = [
        run
        for worker in site.workers.values()
        for run in worker.runs
        if run[1] in late
    ]
    site.record.note(
        f'{len(ran)} of {len(late)} requests ran that were sent later than '
        f'{REVOKE_SECONDS} s after their key was taken away'
    )
    return not ran


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, play))
