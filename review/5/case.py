"""Workers leave while daemons are cut off from the store for a moment."""

import asyncio
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
    now,
    run_case,
)
from review.proxy import CutProxy
from review.workers import PlainWorker

DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
DAEMONS = {'edge-1': 'milano-a', 'edge-2': 'padova-a', 'edge-3': 'torino-a'}
ROUNDS = 15
CUT_SECONDS = 2.5
# A worker leaves this long before the end of each cut.
LEAVES_BEFORE = 0.5
WATCHED_SECONDS = 3.7
CLIENTS = 5
PAUSE_SECONDS = 0.02
# Workers that stay.
STAYING = 2


class LeavingWorker(PlainWorker):
    """Worker that notes when it runs requests.

    :ivar run_at: times of the runs, by attempt.
    """

    def __init__(self, **options: object) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        self.run_at: dict[str, float] = {}

    def note_run(self, attempt: str) -> None:
        """Note the time at which a request arrived."""
        self.run_at[attempt] = now()


async def play(site: Site, trouble: bool) -> int:
    """Let one worker leave in each round, beside a cut of two daemons."""
    workers = [
        LeavingWorker(name=f'i-{number}', record=site.record)
        for number in range(STAYING + ROUNDS)
    ]
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
    for worker in workers[: STAYING + 1]:
        await worker.open(site)
    proxies = {name: CutProxy(target=site.store_address) for name in DAEMONS}
    for name, zone in DAEMONS.items():
        await proxies[name].heal()
        site.prepare(name, zone=zone, store=proxies[name].address)
        site.start(name)
    for name in DAEMONS:
        await site.await_ready(name)
    sent_at: dict[str, tuple[str, float]] = {}
    sending = [
        asyncio.create_task(keep_sending(site, name, number, sent_at))
        for name in DAEMONS
        for number in range(CLIENTS)
    ]
    late: list[str] = []
    for number in range(ROUNDS):
        leaver = workers[STAYING + number]
        late += await play_round(
            site, proxies, leaver, sent_at, trouble=trouble
        )
        if number + 1 < ROUNDS:
            await workers[STAYING + number + 1].open(site)
    for each in sending:
        each.cancel()
    await asyncio.gather(*sending, return_exceptions=True)
    served = sum(len(worker.run_at) for worker in workers)
    site.record.add('verdict', served=served, reached_late=late)
    if served < ROUNDS * CLIENTS:
        raise CannotRunError(f'{served} requests served')
    return BROKEN if late else HELD


async def play_round(
    site: Site,
    proxies: dict[str, CutProxy],
    leaver: LeavingWorker,
    sent_at: dict[str, tuple[str, float]],
    *,
    trouble: bool,
) -> list[str]:
    """Let a worker leave; return the attempts that reached it too late."""
    await asyncio.sleep(0.5)
    if trouble:
        for proxy in proxies.values():
            proxy.cut()
        site.record.add('cut', daemons=list(proxies))
    await asyncio.sleep(CUT_SECONDS - LEAVES_BEFORE)
    # It never reports that it drains: its entry goes, and it serves on.
    site.store.drop('servers', leaver.name)
    gone_at = now()
    site.record.add('acknowledged', gone=leaver.name)
    await asyncio.sleep(LEAVES_BEFORE)
    in_touch_at = gone_at
    if trouble:
        for proxy in proxies.values():
            await proxy.heal()
        in_touch_at = now() + CONTACT_SECONDS
        site.record.add('healed', daemons=list(proxies))
    await asyncio.sleep(WATCHED_SECONDS)
    bound = max(gone_at + DRAIN_SECONDS, in_touch_at)
    late = []
    for attempt, at in leaver.run_at.items():
        daemon, sent = sent_at[attempt]
        if at > bound and sent > in_touch_at:
            late.append(attempt)
            site.record.add(
                'late',
                attempt=attempt,
                daemon=daemon,
                worker=leaver.name,
                seconds_after_acknowledgement=round(at - gone_at, 3),
                seconds_in_touch=round(at - in_touch_at, 3),
            )
    return late


async def keep_sending(
    site: Site, name: str, number: int, sent_at: dict[str, tuple[str, float]]
) -> None:
    """Send look-ups by one daemon until cancelled."""
    client = Client(address=site.callers[name], key='key-1', record=site.record)
    count = 0
    while True:
        count += 1
        attempt = f'{name}-{number}-{count}'
        sent_at[attempt] = name, now()
        await client.send('POST', f'/lookups/{count}', attempt)
        await asyncio.sleep(PAUSE_SECONDS)


run_case(play, pathlib.Path(__file__).parent)
