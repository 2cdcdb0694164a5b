"""A soak test: real daemons under random faults, checked by their answers.

Run it with ``python -m fakes.soak --seeds 50``.
"""

import asyncio
import pathlib
import random
import signal
import tempfile
import time
import uuid

import aiohttp
import click

from fakes.soak_checks import RECOVER_SECONDS, list_findings
from fakes.soak_plan import RESTORE, Fault, plan_faults
from fakes.soak_proxy import LinkFault
from fakes.soak_records import InjectedFault, Kind, Records, SentRequest
from fakes.soak_site import (
    FORWARDERS,
    GRACE_SECONDS,
    KEYS,
    SoakSite,
    read_lines,
    wait_ready,
)
from fakes.soak_watch import describe_stalls, record_stalls, write_stalls

CALLERS = 6
PAUSE_SECONDS = 0.12
SETTLE_SECONDS = 1.5
CALM_SECONDS = RECOVER_SECONDS + 3.0
# The platform writes lapsed rows again within two seconds of the return of
# the store.
LAPSE_SECONDS = 1.5
# The store is away for this time before it comes back from a copy, and the
# rows that it lost are written again within the second one.
RESTORE_SECONDS = 0.7
REWRITE_SECONDS = 1.0
# Longer than a withdrawal takes to come into force.
WITHDRAWN_SECONDS = 8.0
# Longer than engines may go on serving older weights.
ORIGIN_SECONDS = 9.5
FINAL_CHANGES = tuple(
    Fault(at=0, name=name, whom='', seconds=ORIGIN_SECONDS)
    for name in (
        'origin down',
        'weights',
        'withdraw',
        'revoke',
        'desired state',
    )
)
CRASH_MARKS = ('Traceback', 'background task failed')
DEADLINE_MS = 4000
# A signal that arrives before the first line of the daemon runs would test the
# interpreter instead of the daemon.
STARTUP_SECONDS = 0.3


class Soak:
    """One run: callers, injected faults and the findings."""

    def __init__(self, *, site: SoakSite, seed: int, seconds: float) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._findings: list[str] = []
        self._withdrawals = 0
        self._began_at = time.monotonic()
        self._store_busy = asyncio.Lock()
        self._busy: dict[str, asyncio.Lock] = {
            name: asyncio.Lock() for name in site.children
        }

    async def run(self) -> list[str]:
        """Run callers and faults and return all findings."""
        site = self._site
        callers = [
            asyncio.create_task(self._run_caller(number))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(SETTLE_SECONDS)
        await self._inject_schedule()
        site.records.calm_from = time.monotonic()
        # No fault excuses a late effect of these changes by operators.
        changes = [
            asyncio.create_task(self._inject(change))
            for change in FINAL_CHANGES
        ]
        await asyncio.sleep(CALM_SECONDS)
        await asyncio.gather(*changes)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        self._check_processes()
        return [*self._findings, *list_findings(site.records)]

    async def _inject_schedule(self) -> None:
        faults = plan_faults(
            seed=self._seed,
            seconds=self._seconds,
            daemons=list(self._site.children),
            links=list(self._site.links),
        )
        began_at = time.monotonic()
        tasks = []
        for fault in faults:
            await asyncio.sleep(began_at + fault.at - time.monotonic())
            tasks.append(asyncio.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: Fault) -> None:
        began_at = time.monotonic()
        try:
            await self._apply(fault)
        finally:
            self._site.records.faults.append(
                InjectedFault(
                    name=fault.name,
                    whom=fault.whom.partition('/')[0],
                    began_at=began_at,
                    ended_at=time.monotonic(),
                )
            )

    async def _apply(self, fault: Fault) -> None:
        if fault.whom in self._site.children:
            async with self._busy[fault.whom]:
                await self._signal(fault)
        elif fault.whom:
            link = self._site.links[fault.whom]
            link.set_fault(LinkFault(fault.name))
            await asyncio.sleep(fault.seconds)
            link.set_fault(LinkFault.NONE)
        elif fault.name in {'store down', 'store silent', 'rows lapse'}:
            async with self._store_busy:
                await self._stop_store(fault)
        elif fault.name == RESTORE:
            async with self._store_busy:
                await self._restore_store(fault)
        else:
            await self._operate(fault)

    async def _signal(self, fault: Fault) -> None:
        child = self._site.children[fault.whom]
        if fault.name == 'hang up':
            child.send(signal.SIGHUP)
        elif fault.name == 'pause':
            child.send(signal.SIGSTOP)
            await asyncio.sleep(fault.seconds)
            child.send(signal.SIGCONT)
        elif fault.name == 'kill':
            child.send(signal.SIGKILL)
            await child.wait()
            await self._start(fault.whom)
        else:
            child.send(signal.SIGTERM)
            try:
                await child.wait(GRACE_SECONDS)
            except TimeoutError:
                self._findings.append(f'{fault.whom} outlasts its grace time')
                child.send(signal.SIGKILL)
                await child.wait()
            await self._start(fault.whom)

    async def _start(self, name: str) -> None:
        await self._site.start_child(name)
        await asyncio.sleep(STARTUP_SECONDS)

    async def _stop_store(self, fault: Fault) -> None:
        store = self._site.store
        silent = fault.name == 'store silent'
        store.silent, store.down = silent, not silent
        if fault.name == 'rows lapse':
            for name in self._site.targets:
                store.drop('servers', name)
        await asyncio.sleep(fault.seconds)
        store.silent = store.down = False
        if fault.name == 'rows lapse':
            await asyncio.sleep(LAPSE_SECONDS)
            for name in self._site.targets:
                self._site.put_target(name)

    async def _restore_store(self, fault: Fault) -> None:
        store = self._site.store
        store.down = True
        await asyncio.sleep(RESTORE_SECONDS)
        store.restore(
            min(fault.seconds, time.monotonic() - self._began_at),
            rewrite_after=REWRITE_SECONDS,
        )
        store.down = False
        await asyncio.sleep(REWRITE_SECONDS)

    async def _operate(self, fault: Fault) -> None:
        site, records = self._site, self._site.records
        if fault.name == 'history gone':
            site.store.forget_history()
        elif fault.name == 'origin down':
            site.origin_down = True
            await asyncio.sleep(fault.seconds)
            site.origin_down = False
        elif fault.name == 'revoke' and len(site.keys) > 4:
            key = site.keys.pop()
            site.put_state()
            records.revoked[key] = time.monotonic()
        elif fault.name == 'withdraw':
            began_at = time.monotonic()
            self._withdrawals += 1
            site.store.put('op', 'evacuate/near-b', {})
            await asyncio.sleep(WITHDRAWN_SECONDS)
            records.withdrawn.append(('near-b', began_at, time.monotonic()))
            self._withdrawals -= 1
            # A later withdrawal of the failure domain may still be in force.
            if not self._withdrawals:
                site.store.drop('op', 'evacuate/near-b')
        elif fault.name == 'weights':
            site.set_weights_version()
        else:
            site.put_state()

    async def _run_caller(self, number: int) -> None:
        """Send requests as one caller, over kept-alive connections."""
        rng = random.Random(self._seed * CALLERS + number)
        async with aiohttp.ClientSession() as session:
            while True:
                daemon = rng.choice(list(FORWARDERS))
                kind = rng.choice(list(Kind))
                request = SentRequest(
                    attempt=uuid.UUID(int=rng.getrandbits(128)).hex,
                    kind=kind,
                    # Callers keep using revoked keys.
                    key=rng.choice(KEYS),
                    daemon=daemon,
                    path=f'/{kind.value}/{rng.randrange(100)}',
                    sent_at=time.monotonic(),
                )
                self._site.records.requests.append(request)
                await self._send(session, request)
                await asyncio.sleep(PAUSE_SECONDS * rng.uniform(0.5, 1.5))

    async def _send(
        self, session: aiohttp.ClientSession, request: SentRequest
    ) -> None:
        headers = {
            'Host': 'desk.example',
            'Authorization': f'Bearer {request.key}',
            'Ragwortcourse-Attempt-Id': request.attempt,
            'Ragwortcourse-Deadline-Ms': str(DEADLINE_MS),
        }
        url = f'http://{self._site.callers[request.daemon]}{request.path}'
        try:
            async with (
                asyncio.timeout(DEADLINE_MS / 1000),
                session.post(url, headers=headers) as response,
            ):
                body = await response.text()
                request.stamp = response.headers.get(
                    'Ragwortcourse-Server-Stamp', ''
                )
                is_stream = response.content_type == 'text/event-stream'
                request.body = _list_events(body) if is_stream else body
                request.status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            # A broken connection leaves the outcome unknown.
            request.status = None
        finally:
            request.ended_at = time.monotonic()

    def _check_processes(self) -> None:
        for name, child in self._site.children.items():
            if not child.running:
                self._findings.append(f'{name} ended by itself')
            path = self._site.folder / f'{name}.log'
            for line in read_lines(path, *CRASH_MARKS):
                self._findings.append(f'{name}: {line[:300]}')


def _list_events(body: str) -> str:
    """Extract the ids of the events of a stream, in order."""
    return ' '.join(
        line.removeprefix('id: ')
        for line in body.splitlines()
        if line.startswith('id: ')
    )


async def run_soak(
    *, seed: int, seconds: float, folder: pathlib.Path
) -> tuple[list[str], Records]:
    """Run one soak.

    :param seed: seed of the faults and of the callers.
    :param seconds: length of the schedule of faults.
    :param folder: directory for settings and logs.
    :return: the findings and the records behind them.
    """
    site = SoakSite(folder=folder)
    noting = asyncio.create_task(record_stalls(site.records.stalls))
    try:
        await site.open()
        await wait_ready(site)
        findings = await Soak(site=site, seed=seed, seconds=seconds).run()
    finally:
        noting.cancel()
        await site.close()
        write_stalls(folder, site.records.stalls)
    return findings, site.records


async def _run_all(
    seeds: list[int], seconds: float, jobs: int, keep: pathlib.Path
) -> int:
    queue, broken = list(seeds), []

    async def work() -> None:
        while queue:
            seed = queue.pop(0)
            folder = pathlib.Path(
                tempfile.mkdtemp(prefix=f'seed-{seed}-', dir=keep)
            )
            findings, records = await run_soak(
                seed=seed, seconds=seconds, folder=folder
            )
            statuses = [each.status for each in records.requests]
            click.echo(
                f'seed {seed}: {len(statuses)} requests, '
                f'{statuses.count(200)} served, {len(records.faults)} '
                f'faults, {len(findings)} findings in {folder}'
            )
            click.echo(f'  {describe_stalls(folder, records.stalls)}')
            for finding in findings[:5]:
                click.echo(f'  {finding}')
            if findings:
                broken.append(seed)

    await asyncio.gather(*(work() for _ in range(jobs)))
    click.echo(f'{len(seeds)} seeds, broken: {sorted(broken)}')
    return len(broken)


@click.command()
@click.option('--seeds', default=5, help='how many seeds')
@click.option('--first', type=int, help='first seed; a fresh one if absent')
@click.option('--seconds', default=20.0, help='of faults in each run')
@click.option('--jobs', default=2, help='runs at once, nine processes each')
@click.option(
    '--keep',
    type=click.Path(path_type=pathlib.Path),
    default='/tmp',  # noqa: S108  # each run makes its own folder in it
    help='folder for the logs',
)
def main(
    seeds: int,
    first: int | None,
    seconds: float,
    jobs: int,
    keep: pathlib.Path,
) -> None:
    """Harm a small fleet of real processes and check what callers see."""
    if first is None:
        first = random.SystemRandom().randrange(10**6)
    chosen = list(range(first, first + seeds))
    raise SystemExit(min(asyncio.run(_run_all(chosen, seconds, jobs, keep)), 1))


if __name__ == '__main__':
    main()
