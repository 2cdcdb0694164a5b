"""Rounds in which the store comes back from an older copy.

Each round draws from its seed how old the copy is, what the operators change
around the restore, and which other faults happen. Run many with
``python -m fakes.restore_rounds --seeds 200``.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Sequence

import click

from fakes.fleet_parts import FLEET, REGIONS
from fakes.fleet_store import FleetStore
from fakes.restore_daemon import RestoreDaemon
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.forwarding.permission import is_confirmed
from ragwortcourse.identifiers import DaemonId, FailureDomainName, ModelName

MODEL = ModelName('m')
DAEMONS_PER_DOMAIN = 3
# Before the restore; copies are up to this old.
CHANGES_SECONDS = 10.0
LONGEST_OUTAGE_SECONDS = 2.0
LONGEST_REWRITE_SECONDS = 1.0
# All daemons are at the newest state this long after the last change.
NEWEST_SECONDS = 3.0
SAMPLE_SECONDS = 0.05
# Rates of the store, and the number of daemons that share them at the size
# that the users name.
READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400
FLEET_DAEMONS = 350
CHANGES = ('state', 'state', 'withdraw', 'lift', 'version')
TROUBLES = ('none', 'cut', 'kill', 'restart', 'restore')


@dataclasses.dataclass(slots=True, kw_only=True)
class Operators:
    """What the operators want, whether the store still has it or not.

    :ivar acknowledged: boot-clock time of each version of the desired state.
    :ivar lifted: boot-clock time of the last end of each withdrawal.
    """

    fake: FleetStore
    state: int = 0
    version: int = 1
    withdrawn: set[str] = dataclasses.field(default_factory=set)
    acknowledged: dict[int, float] = dataclasses.field(default_factory=dict)
    lifted: dict[str, float] = dataclasses.field(default_factory=dict)

    def change(self, name: str, rng: random.Random) -> None:
        """Make one change and write it to the store."""
        domain = rng.choice(sorted(REGIONS))
        if name == 'state':
            self.state += 1
            content = {'version': self.state, 'routes': []}
            self.fake.put('op', 'config', content)
            self.acknowledged[self.state] = read_boot_clock()
        elif name == 'version':
            self.version += 1
            content = {'model': MODEL, 'version': self.version}
            self.fake.put('op', f'version/{MODEL}', content)
        elif name == 'withdraw':
            self.withdrawn.add(domain)
            self.fake.put('op', f'evacuate/{domain}', {})
        elif domain in self.withdrawn:
            self.withdrawn.discard(domain)
            self.lifted[domain] = read_boot_clock()
            self.fake.drop('op', f'evacuate/{domain}')

    def note_restored(self, age: float, rewrite_after: float) -> None:
        """Note that ends of withdrawals were lost and are written again."""
        now = read_boot_clock()
        for domain, lifted_at in self.lifted.items():
            if lifted_at > now - age:
                self.lifted[domain] = now + rewrite_after

    def list_withdrawn(self, seconds: float) -> set[str]:
        """List the withdrawals that were not lifted for some seconds."""
        since = read_boot_clock() - seconds
        return {
            domain
            for domain in self.withdrawn
            if self.lifted.get(domain, -math.inf) < since
        }

    def find_revoked_since(self, seconds: float) -> int:
        """Find the newest desired state that is older than some seconds."""
        now = read_boot_clock()
        return max(
            (
                version
                for version, at in self.acknowledged.items()
                if now - at > seconds
            ),
            default=0,
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Belief:
    """What a daemon held at the last look."""

    state: int = 0
    version: int = 0
    withdrawn: frozenset[str] = frozenset()


class RestoreRound:
    """One store, its operators and the daemons of three failure domains.

    :ivar findings: what broke a promise, one text each.
    """

    def __init__(self, seed: int) -> None:
        self.findings: set[str] = set()
        # Each part draws in its own order, whatever the timing.
        self._operating = random.Random(f'{seed} operate')
        self._disturbing = random.Random(f'{seed} disturb')
        self._restoring = random.Random(f'{seed} restore')
        self._fake = FleetStore()
        self._operators = Operators(fake=self._fake)
        self._daemons: list[RestoreDaemon] = []
        self._ended: list[RestoreDaemon] = []
        self._beliefs: dict[str, Belief] = {}
        self._began_at: float = 0

    async def play(self) -> None:
        """Play the round and collect the findings."""
        for name in ('state', 'version'):
            self._operators.change(name, self._operating)
        for number in range(DAEMONS_PER_DOMAIN):
            for domain in REGIONS:
                await self._start(DaemonId(f'{domain}-{number}'), domain)
        await asyncio.sleep(NEWEST_SECONDS)
        self._began_at = read_boot_clock()
        watching = asyncio.ensure_future(self._watch())
        await asyncio.gather(
            self._operate(), self._disturb(), self._restore(CHANGES_SECONDS)
        )
        await asyncio.sleep(LONGEST_REWRITE_SECONDS)
        await asyncio.sleep(NEWEST_SECONDS)
        for daemon in self._daemons:
            self._check_newest(daemon)
        self._check_rates()
        watching.cancel()
        for daemon in self._daemons:
            await daemon.kill()

    async def _start(self, name: DaemonId, domain: FailureDomainName) -> None:
        daemon = RestoreDaemon(name=name, domain=domain, fake=self._fake)
        self._daemons.append(daemon)
        self._beliefs[name] = Belief()
        await daemon.start()

    async def _operate(self) -> None:
        """Make changes until some time after the restore."""
        span = CHANGES_SECONDS + LONGEST_OUTAGE_SECONDS
        until = read_boot_clock() + span + 1
        while read_boot_clock() < until:
            await asyncio.sleep(self._operating.choice((0.05, 0.4, 1.5)))
            if not self._fake.down:
                self._operators.change(
                    self._operating.choice(CHANGES), self._operating
                )

    async def _restore(self, after: float) -> None:
        await asyncio.sleep(after)
        self._fake.down = True
        await asyncio.sleep(self._restoring.uniform(0, LONGEST_OUTAGE_SECONDS))
        age = self._restoring.uniform(1, CHANGES_SECONDS)
        rewrite_after = self._restoring.uniform(0, LONGEST_REWRITE_SECONDS)
        self._fake.restore(age, rewrite_after=rewrite_after)
        self._operators.note_restored(age, rewrite_after)
        self._fake.down = False

    async def _disturb(self) -> None:
        """Make up to two other faults around the restore."""
        for trouble in self._disturbing.choices(TROUBLES, k=2):
            await asyncio.sleep(
                self._disturbing.uniform(0, CHANGES_SECONDS / 2 + 1)
            )
            if trouble == 'cut':
                await self._cut(self._disturbing.choice(sorted(REGIONS)))
            elif trouble == 'restore':
                await self._restore(0)
            elif trouble != 'none':
                victim = self._disturbing.choice(self._daemons)
                await self._end(victim)
                if trouble == 'restart':
                    await self._start(victim.name, victim.domain)

    async def _cut(self, domain: FailureDomainName) -> None:
        cut = [each for each in self._daemons if each.domain == domain]
        for daemon in cut:
            daemon.is_cut_off = True
        await asyncio.sleep(self._disturbing.uniform(0.5, 3))
        for daemon in cut:
            daemon.is_cut_off = False

    async def _end(self, daemon: RestoreDaemon) -> None:
        self._daemons.remove(daemon)
        self._ended.append(daemon)
        await daemon.kill()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            for daemon in self._daemons:
                self._look_at(daemon)

    def _look_at(self, daemon: RestoreDaemon) -> None:
        state, before = daemon.state, self._beliefs[daemon.name]
        known = () if state.desired is None else (state.desired.version,)
        now = Belief(
            state=max(known, default=0),
            version=max(
                (each.version for each in state.weights.get(MODEL, ())),
                default=0,
            ),
            withdrawn=frozenset(state.withdrawn),
        )
        self._beliefs[daemon.name] = now
        if now.state < before.state or now.version < before.version:
            self.findings.add(f'{daemon.name}: went back to {now}')
        lifted = before.withdrawn - now.withdrawn
        if lifted & self._operators.list_withdrawn(NEWEST_SECONDS):
            self.findings.add(f'{daemon.name}: lifted {sorted(lifted)}')
        self._check_confirmed(daemon, now)

    def _check_confirmed(self, daemon: RestoreDaemon, now: Belief) -> None:
        uptime = read_boot_clock() - daemon.started_at
        if uptime < FLEET.contact_ms / 1000 or not now.state:
            return
        revoked = self._operators.find_revoked_since(FLEET.revoke_ms / 1000)
        if now.state < revoked and is_confirmed(daemon.state, FLEET):
            self.findings.add(f'{daemon.name}: serves keys of {now.state}')

    def _check_newest(self, daemon: RestoreDaemon) -> None:
        belief, wanted = self._beliefs[daemon.name], self._operators
        newest = Belief(
            state=wanted.state,
            version=wanted.version,
            withdrawn=frozenset(wanted.withdrawn),
        )
        if belief != newest:
            self.findings.add(f'{daemon.name}: {belief}, newest {newest}')

    def _check_rates(self) -> None:
        calls = [
            call
            for daemon in (*self._daemons, *self._ended)
            for call in daemon.accepted
            if call.at > self._began_at
        ]
        share = DAEMONS_PER_DOMAIN * len(REGIONS) / FLEET_DAEMONS
        writes = [call.at for call in calls if call.path == '/rows-tx']
        reads = [call.at for call in calls if call.path != '/rows-tx']
        for name, times, rate in (
            ('reads', reads, READS_PER_SECOND),
            ('writes', writes, WRITES_PER_SECOND),
        ):
            most = count_most(sorted(times))
            if most > math.ceil(rate * share):
                self.findings.add(f'{most} {name} in a second')


def count_most(times: Sequence[float]) -> int:
    """Count the most events in any second, of times in order."""
    return max(
        (
            sum(1 for other in times[first:] if other - at < 1)
            for first, at in enumerate(times)
        ),
        default=0,
    )


async def play_rounds(
    seeds: Sequence[int], *, jobs: int
) -> dict[int, set[str]]:
    """Play a round for each seed, some at once; return the findings."""
    slots = asyncio.Semaphore(jobs)

    async def play(seed: int) -> set[str]:
        async with slots:
            played = RestoreRound(seed)
            await played.play()
            return played.findings

    findings = await asyncio.gather(*(play(seed) for seed in seeds))
    return dict(zip(seeds, findings, strict=True))


@click.command()
@click.option('--seeds', default=10, help='Number of rounds.')
@click.option('--first', default=1, help='Seed of the first round.')
@click.option('--jobs', default=8, help='Rounds at once.')
def main(seeds: int, first: int, jobs: int) -> None:
    """Play rounds and print the findings of each seed."""
    played = asyncio.run(play_rounds(range(first, first + seeds), jobs=jobs))
    for seed, findings in played.items():
        for finding in sorted(findings):
            click.echo(f'seed {seed}: {finding}')
    broken = [seed for seed, findings in played.items() if findings]
    click.echo(f'{len(played)} seeds, broken: {broken}')


if __name__ == '__main__':
    main()
