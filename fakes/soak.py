"""A soak test: real daemons under random faults, checked by their answers.

Run it with ``python -m fakes.soak --seeds 50``.
"""

import asyncio
import pathlib
import random
import signal
import tempfile
import time
from collections.abc import Callable

import click

from fakes.soak_caller import run_caller
from fakes.soak_checks import RECOVER_SECONDS, list_findings
from fakes.soak_crasher import run_crasher
from fakes.soak_losses import CONTACT_SECONDS
from fakes.soak_operation import Operation
from fakes.soak_operators import SoakOperators
from fakes.soak_plan import (
    HALF_SILENT,
    PAUSE,
    RESTORE,
    Fault,
    plan_changes,
    plan_faults,
)
from fakes.soak_proxy import LinkFault
from fakes.soak_records import (
    InjectedFault,
    PlannedKind,
    PlannedWork,
    Records,
    write_records,
)
from fakes.soak_setup import SoakSetup
from fakes.soak_site import (
    GRACE_SECONDS,
    PREFIXES,
    SoakSite,
    list_errors,
    name_loader,
    wait_ready,
)
from fakes.soak_state import SPARE
from fakes.soak_target import SoakTarget
from fakes.soak_watch import describe_stalls, record_stalls, write_stalls

# One of two stays with its daemon.
CALLERS_PER_FORWARDER = 2
SETTLE_SECONDS = 1.5
# Long enough that the requests under way at the end are few of those counted.
CALM_SECONDS = RECOVER_SECONDS + 6.0
# The platform writes lapsed rows again within two seconds of the return of
# the store.
LAPSE_SECONDS = 1.5
# The store is away for this time before it comes back from a copy, and the
# rows that it lost are written again within the second one.
RESTORE_SECONDS = 0.7
REWRITE_SECONDS = 1.0
# Of the pages that are not the last of a read.
CHANGED_SHARE = 0.2
# Longer than engines may go on serving older weights.
ORIGIN_SECONDS = 9.5
FINAL_CHANGES = tuple(
    Fault(at=0, name=name, whom='', seconds=ORIGIN_SECONDS)
    for name in (
        Operation.ORIGIN_DOWN,
        Operation.WEIGHTS,
        Operation.WITHDRAW,
        Operation.REVOKE,
        Operation.DESIRED_STATE,
    )
)


class Soak:
    """One run: callers, injected faults, planned work and the findings."""

    def __init__(self, *, site: SoakSite, setup: SoakSetup) -> None:
        self._site = site
        self._setup = setup
        self._rng = random.Random(setup.seed)
        self._operators = SoakOperators(site=site, rng=self._rng)
        self._page_rng = random.Random(f'{setup.seed} between pages')
        site.store.after_page = self._change_between_pages
        self._findings: list[str] = []
        self._began_at = time.monotonic()
        self._store_busy = asyncio.Lock()
        self._busy: dict[str, asyncio.Lock] = {
            name: asyncio.Lock() for name in site.children
        }

    async def run(self) -> list[str]:
        """Run callers and schedules and return all findings."""
        site = self._site
        callers = [
            asyncio.create_task(
                run_caller(
                    site,
                    random.Random(f'{self._setup.seed} caller {number}'),
                    stays=bool(number % 2),
                )
            )
            for number in range(CALLERS_PER_FORWARDER * len(site.forwarders))
        ]
        callers.append(
            asyncio.create_task(
                run_crasher(site, random.Random(f'{self._setup.seed} crasher'))
            )
        )
        await asyncio.sleep(SETTLE_SECONDS)
        stops: set[asyncio.Task[None]] = set()
        for target in site.list_engines():
            target.trouble.stop_loader = self._build_stop(target, stops)
        site.set_trouble(is_on=bool(self._setup.fault_seconds))
        await self._inject_all(self._plan_faults())
        site.set_trouble(is_on=False)
        await asyncio.gather(*stops)
        if self._setup.planned_seconds:
            await self._work_as_planned()
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

    def _build_stop(
        self, target: SoakTarget, stops: set[asyncio.Task[None]]
    ) -> Callable[[float], None]:
        """Build what stops a loader at once, for some seconds.

        :param stops: takes the tasks.
        """

        def stop(seconds: float) -> None:
            pause = Fault(
                at=0, name=PAUSE, whom=name_loader(target), seconds=seconds
            )
            stops.add(asyncio.create_task(self._inject(pause)))

        return stop

    async def _work_as_planned(self) -> None:
        # Losses count once the last fault is this long ago.
        await asyncio.sleep(CONTACT_SECONDS if self._setup.fault_seconds else 0)
        await self._inject_all(
            plan_changes(
                seed=self._setup.seed,
                seconds=self._setup.planned_seconds,
                # Forwarders are drawn more often than loaders.
                daemons=[*self._site.forwarders, *self._site.children],
                services=list(PREFIXES),
            )
        )

    def _change_between_pages(self) -> None:
        """Take a key away while a daemon reads a table, for some pages."""
        if self._page_rng.random() < CHANGED_SHARE:
            self._operators.revoke()

    def _plan_faults(self) -> list[Fault]:
        if not self._setup.fault_seconds:
            return []
        return plan_faults(
            seed=self._setup.seed,
            seconds=self._setup.fault_seconds,
            daemons=list(self._site.children),
            # The links of spare targets stay sound.
            links=[
                name
                for name in self._site.links
                if not name.startswith(PREFIXES[SPARE])
            ],
            reader_links=self._site.list_reader_links(),
        )

    async def _inject_all(self, faults: list[Fault]) -> None:
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
        elif fault.name == HALF_SILENT:
            self._silence_half(fault)
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
            await self._operators.change(fault)

    async def _signal(self, fault: Fault) -> None:
        child = self._site.children[fault.whom]
        if fault.name == PlannedKind.HANG_UP:
            self._site.change_settings(fault.whom)
            self._note_signal(fault)
            child.send(signal.SIGHUP)
        elif fault.name == PAUSE:
            child.send(signal.SIGSTOP)
            await asyncio.sleep(fault.seconds)
            child.send(signal.SIGCONT)
        elif fault.name == 'kill':
            child.send(signal.SIGKILL)
            await child.wait()
            await self._start(fault.whom)
        else:
            self._note_signal(fault)
            child.send(signal.SIGTERM)
            try:
                await child.wait(GRACE_SECONDS)
            except TimeoutError:
                self._findings.append(f'{fault.whom} outlasts its grace time')
                child.send(signal.SIGKILL)
                await child.wait()
            await self._start(fault.whom)

    def _note_signal(self, fault: Fault) -> None:
        self._site.records.planned.append(
            PlannedWork(
                kind=PlannedKind(fault.name),
                whom=fault.whom,
                at=time.monotonic(),
            )
        )

    def _silence_half(self, fault: Fault) -> None:
        """Let half of the targets of a service fall silent together."""
        targets = self._site.list_targets(fault.whom)
        for target in self._rng.sample(targets, (len(targets) + 1) // 2):
            target.silence.begin(fault.seconds)

    async def _start(self, name: str) -> None:
        await self._site.start_child(name)
        # An earlier signal would test the interpreter instead of the daemon.
        await self._site.children[name].wait_for_handler(signal.SIGHUP)

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

    def _check_processes(self) -> None:
        for name, child in self._site.children.items():
            if not child.running:
                self._findings.append(f'{name} ended by itself')
            path = self._site.folder / f'{name}.log'
            for line in list_errors(path):
                self._findings.append(f'{name}: {line[:300]}')


async def run_soak(
    setup: SoakSetup, folder: pathlib.Path
) -> tuple[list[str], Records]:
    """Run one soak.

    :param folder: directory for settings, logs and records.
    :return: the findings and the records behind them.
    """
    site = SoakSite(
        folder=folder,
        forwarders=setup.forwarders,
        targets=setup.targets,
        seed=setup.seed,
    )
    noting = asyncio.create_task(record_stalls(site.records.stalls))
    findings: list[str] = []
    try:
        await site.open()
        await wait_ready(site)
        findings = await Soak(site=site, setup=setup).run()
    finally:
        noting.cancel()
        await site.close()
        write_stalls(folder, site.records.stalls)
        write_records(folder, site.records, findings)
    return findings, site.records


async def _run_all(
    setups: list[SoakSetup], jobs: int, keep: pathlib.Path
) -> int:
    queue, broken = list(setups), []

    async def work() -> None:
        while queue:
            setup = queue.pop(0)
            folder = pathlib.Path(
                tempfile.mkdtemp(prefix=f'seed-{setup.seed}-', dir=keep)
            )
            findings, records = await run_soak(setup, folder)
            statuses = [each.status for each in records.requests]
            click.echo(
                f'seed {setup.seed}: {len(statuses)} requests, '
                f'{statuses.count(200)} served, {len(records.faults)} '
                f'faults, {records.loads} loads, {len(records.troubles)} '
                f'calls in trouble, {len(findings)} findings in {folder}'
            )
            click.echo(f'  {describe_stalls(folder, records.stalls)}')
            for finding in findings[:5]:
                click.echo(f'  {finding}')
            if findings:
                broken.append(setup.seed)

    await asyncio.gather(*(work() for _ in range(jobs)))
    click.echo(f'{len(setups)} seeds, broken: {sorted(broken)}')
    return len(broken)


@click.command()
@click.option('--seeds', default=5, help='how many seeds')
@click.option('--first', type=int, help='first seed; a fresh one if absent')
@click.option('--seconds', default=20.0, help='of faults in each run')
@click.option('--planned', default=20.0, help='seconds of planned work')
@click.option('--forwarders', default=3, help='processes in each run')
@click.option(
    '--targets', default=2, help='of each service, and as many loaders'
)
@click.option('--jobs', default=2, help='runs at once')
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
    planned: float,
    forwarders: int,
    targets: int,
    jobs: int,
    keep: pathlib.Path,
) -> None:
    """Harm a small fleet of real processes and check what callers see."""
    if first is None:
        first = random.SystemRandom().randrange(10**6)
    setups = [
        SoakSetup(
            seed=seed,
            fault_seconds=seconds,
            planned_seconds=planned,
            forwarders=forwarders,
            targets=targets,
        )
        for seed in range(first, first + seeds)
    ]
    raise SystemExit(min(asyncio.run(_run_all(setups, jobs, keep)), 1))


if __name__ == '__main__':
    main()
