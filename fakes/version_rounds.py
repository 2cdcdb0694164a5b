"""Rounds in which versions are announced while daemons restart and are cut.

Each round draws from its seed when operators announce versions, and which
daemons end, start, lose the store or each other around it. After the bound of
a version no daemon in touch may let a request begin on an older one. Play
many in virtual time with ``python -m fakes.version_rounds --seeds 200``.
"""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterator, Sequence
from types import SimpleNamespace
from typing import Any

import click
import msgspec
from aiohttp import web

from fakes.fleet_parts import FLEET, MODEL, REGIONS
from fakes.fleet_store import FleetStore
from fakes.memory_fleet import MemoryFleet
from fakes.version_daemon import STORE_ADDRESS, VersionDaemon, make_address
from fakes.virtual_clocks import run_in_virtual_time
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.store_watch import OUTAGE_QUORUM_SHARE
from ragwortcourse.identifiers import DaemonId, FailureDomainName

DAEMONS_PER_DOMAIN = 3
QUIET_SECONDS = 6.0
# From the first announcement to the end of the round.
ROUND_SECONDS = 24.0
# Troubles begin within this time from just before the first announcement.
TROUBLED_SECONDS = 14.0
SAMPLE_SECONDS = 0.1
BOUND_SECONDS = FLEET.version_ms / 1000
CONTACT_SECONDS = FLEET.contact_ms / 1000
# Transit of the announcement to the store, and of samples.
SLACK_SECONDS = 0.1
GAPS = (0.3, 1.0, 2.0, 3.0, 5.0, 9.0)
DOWN_SECONDS = (0.3, 1.0, 3.0, 6.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announced:
    """A version and when the store acknowledged it."""

    version: int
    at: float


class VersionRound:
    """One store and the daemons of three failure domains.

    :ivar findings: what broke the promise, one text each.
    :ivar troubles: what happened, in order of time.
    """

    def __init__(self, seed: int) -> None:
        self.findings: list[str] = []
        self.troubles: list[str] = []
        self._seed = seed
        self._operating = random.Random(f'{seed} operate')
        self._disturbing = random.Random(f'{seed} disturb')
        self._store = FleetStore(read_clock=read_clock)
        self._fleet = MemoryFleet(rng=random.Random(f'{seed} transit'))
        self._daemons: dict[DaemonId, VersionDaemon] = {}
        self._announced: list[Announced] = []
        self._store_back_at = 0.0
        self._harmed_until: dict[DaemonId, float] = {}
        self._starts = 0
        self._size = DAEMONS_PER_DOMAIN * len(REGIONS)

    async def play(self) -> None:
        """Play the round and collect the findings."""
        self._fleet.listen(STORE_ADDRESS, self._build_store_routes())
        self._announce(1)
        for domain in sorted(REGIONS):
            for number in range(DAEMONS_PER_DOMAIN):
                self._start(DaemonId(f'{domain}-{number}'), domain)
        await asyncio.sleep(QUIET_SECONDS)
        watching = asyncio.ensure_future(self._watch())
        works = [self._operate(), *self._plan_troubles()]
        await asyncio.gather(*works, asyncio.sleep(ROUND_SECONDS))
        watching.cancel()
        for daemon in self._daemons.values():
            await daemon.kill()

    def _build_store_routes(self) -> list[web.RouteDef]:
        app = self._store.build_app()
        return [
            web.get(route.resource.canonical, route.handler)
            for route in app.router.routes()
            if route.method == 'GET' and route.resource is not None
        ]

    def _start(self, name: DaemonId, domain: FailureDomainName) -> None:
        self._starts += 1
        daemon = VersionDaemon(
            name=name,
            domain=domain,
            fleet=self._fleet,
            seed=f'{self._seed} {self._starts}',
        )
        self._daemons[name] = daemon
        self._store.put('daemons', name, msgspec.to_builtins(daemon.record))
        daemon.start()

    def _announce(self, version: int) -> None:
        content = {'model': MODEL, 'version': version}
        self._store.put('op', f'version/{MODEL}', content)
        self._announced.append(Announced(version=version, at=read_clock()))

    async def _operate(self) -> None:
        for version in range(2, 2 + self._operating.randint(1, 3)):
            while self._store.down:
                await asyncio.sleep(SAMPLE_SECONDS)
            self._announce(version)
            self._tell(f'version {version}')
            await asyncio.sleep(self._operating.choice(GAPS))

    def _plan_troubles(self) -> Iterator[Any]:
        kinds: Sequence[Callable[[float], Any]] = (
            self._restart_some,
            self._restart_some,
            self._cut_from_store,
            self._cut_from_daemons,
            self._lose_datagrams,
            self._slow_down,
            self._forget_history,
            self._stop_store,
            self._suspend_some,
        )
        for _ in range(self._disturbing.randint(1, 4)):
            kind = self._disturbing.choice(kinds)
            yield kind(self._disturbing.uniform(0, TROUBLED_SECONDS))

    async def _restart_some(self, after: float) -> None:
        names = self._draw_daemons()
        pauses = [self._disturbing.choice(DOWN_SECONDS) for _ in names]
        spread = self._disturbing.choice((0.0, 0.2, 1.4))
        await asyncio.sleep(after)
        works = []
        for index, (name, pause) in enumerate(zip(names, pauses, strict=True)):
            works.append(self._restart(name, index * spread, pause))
        await asyncio.gather(*works)

    async def _restart(
        self, name: DaemonId, after: float, pause: float
    ) -> None:
        await asyncio.sleep(after)
        daemon = self._daemons.pop(name, None)
        if daemon is None:
            return
        await daemon.kill()
        self._tell(f'{name} ends')
        await asyncio.sleep(pause)
        self._tell(f'{name} starts')
        self._start(name, daemon.record.failure_domain)

    async def _suspend_some(self, after: float) -> None:
        names, seconds = self._draw_daemons(), self._draw_seconds()
        await asyncio.sleep(after)
        held = [
            daemon.suspension
            for name, daemon in self._daemons.items()
            if name in names
        ]
        self._tell(f'{names} suspended for {seconds} s')
        for suspension in held:
            suspension.suspend()
        with self._harm(names, seconds):
            await asyncio.sleep(seconds)
        for suspension in held:
            suspension.resume()

    async def _cut_from_store(self, after: float) -> None:
        names, seconds = self._draw_daemons(), self._draw_seconds()
        await asyncio.sleep(after)
        ways = {(make_address(name), STORE_ADDRESS) for name in names}
        await self._cut(names, ways, seconds, 'from the store')
        if len(names) > OUTAGE_QUORUM_SHARE * self._size:
            # Nobody can tell this from an outage of the store.
            self._store_back_at = read_clock()

    async def _cut_from_daemons(self, after: float) -> None:
        names, seconds = self._draw_daemons(), self._draw_seconds()
        await asyncio.sleep(after)
        others = set(self._daemons) - set(names)
        ways = {
            (make_address(name), make_address(other))
            for name in names
            for other in others
        }
        if self._disturbing.random() < 0.5:
            ways |= {(receiver, sender) for sender, receiver in ways}
        await self._cut([*names, *others], ways, seconds, f'at {names}')

    async def _cut(
        self,
        names: Sequence[DaemonId],
        ways: set[tuple[str, str]],
        seconds: float,
        where: str,
    ) -> None:
        self._tell(f'{names} cut {where} for {seconds} s')
        self._fleet.cut |= ways
        with self._harm(names, seconds):
            await asyncio.sleep(seconds)
        self._fleet.cut -= ways

    @contextlib.contextmanager
    def _harm(
        self, names: Sequence[DaemonId], seconds: float
    ) -> Iterator[None]:
        until = read_clock() + seconds
        for name in names:
            known = self._harmed_until.get(name, 0)
            self._harmed_until[name] = max(known, until)
        yield

    async def _lose_datagrams(self, after: float) -> None:
        await asyncio.sleep(after)
        self._tell('datagrams lost')
        self._fleet.loss = 0.7
        await asyncio.sleep(self._draw_seconds())
        self._fleet.loss = 0.0

    async def _slow_down(self, after: float) -> None:
        await asyncio.sleep(after)
        self._tell('store slow')
        late = self._disturbing.choice((0.1, 0.4, 0.9))
        if self._disturbing.random() < 0.5:
            self._store.delay = late
        else:
            self._store.arrival_delay = late
        await asyncio.sleep(self._draw_seconds())
        self._store.delay = self._store.arrival_delay = 0

    async def _forget_history(self, after: float) -> None:
        await asyncio.sleep(after)
        self._tell('history gone')
        self._store.forget_history()

    async def _stop_store(self, after: float) -> None:
        await asyncio.sleep(after)
        seconds = self._draw_seconds()
        self._tell(f'store down for {seconds} s')
        self._store.down = True
        await asyncio.sleep(seconds)
        self._store.down = False
        self._store_back_at = read_clock()

    def _draw_daemons(self) -> list[DaemonId]:
        names = [
            DaemonId(f'{domain}-{number}')
            for domain in sorted(REGIONS)
            for number in range(DAEMONS_PER_DOMAIN)
        ]
        if self._disturbing.random() < 0.3:
            domain = self._disturbing.choice(sorted(REGIONS))
            return [name for name in names if name.startswith(domain)]
        return self._disturbing.sample(
            names, self._disturbing.randint(1, len(names) - 1)
        )

    def _draw_seconds(self) -> float:
        return self._disturbing.choice(DOWN_SECONDS)

    def _tell(self, text: str) -> None:
        self.troubles.append(f'{read_clock():.2f} {text}')

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            for name, daemon in self._daemons.items():
                self._check(name, daemon)

    def _check(self, name: DaemonId, daemon: VersionDaemon) -> None:
        now = read_clock()
        in_touch_since = max(daemon.started_at, self._harmed_until.get(name, 0))
        if now - in_touch_since < CONTACT_SECONDS or self._store.down:
            return
        expired_by = max(
            (
                each.version
                for each in self._announced
                if now - max(each.at, self._store_back_at)
                > BOUND_SECONDS + SLACK_SECONDS
            ),
            default=0,
        )
        if daemon.required_version < expired_by:
            self.findings.append(
                f'{now:.2f} {name} lets requests begin on versions from '
                f'{daemon.required_version} on, {expired_by} is due: '
                f'{_describe(daemon, now)}'
            )


def _describe(daemon: VersionDaemon, now: float) -> SimpleNamespace:
    state = daemon.state
    return SimpleNamespace(
        versions=[
            (each.version, round(now - each.seen_at, 2), each.observed)
            for each in state.weights.get(MODEL, ())
        ],
        complete_for=round(now - state.versions_complete_since, 2),
        outage_ago=round(now - state.store_outage_at, 2),
        up_for=round(now - daemon.started_at, 2),
    )


def play_round(seed: int) -> VersionRound:
    """Play the round of a seed in virtual time."""
    return run_in_virtual_time(_play(seed))


async def _play(seed: int) -> VersionRound:
    played = VersionRound(seed)
    await played.play()
    return played


@click.command()
@click.option('--seeds', default=50, help='Number of rounds.')
@click.option('--first', default=1, help='Seed of the first round.')
def main(seeds: int, first: int) -> None:
    """Play rounds and print what happened in those with findings."""
    broken = []
    for seed in range(first, first + seeds):
        played = play_round(seed)
        if played.findings:
            broken.append(seed)
            click.echo(f'seed {seed}: {len(played.findings)} findings')
            for text in (*played.troubles, *played.findings[:2]):
                click.echo(f'  {text}')
    click.echo(f'{seeds} seeds, broken: {broken}')


if __name__ == '__main__':
    main()
