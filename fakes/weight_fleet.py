"""Relays, loaders and engines of a fleet that gets versions of weights.

The caches, sources, plans and switches are the product's; links and engines
are in memory. Results are multiples of the floor: the time of one copy over
the origin's link plus the time of a copy over a loader's link. Play one with
``python -m fakes.weight_fleet --case away`` in virtual time.
"""

import asyncio
import dataclasses
import random
from collections.abc import Coroutine, Sequence

import click
import msgspec

from fakes.fleet_parts import (
    ENGINE_RULES,
    ENGINES,
    FLEET,
    MODEL,
    REGIONS,
    make_settings,
    make_target,
)
from fakes.loader_host import make_chunk
from fakes.staged_engine import StagedEngine
from fakes.virtual_clocks import run_in_virtual_time
from fakes.weight_links import ORIGIN, WeightLinks, WeightSession
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.load_messages import SwitchMessage
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.forwarding.target import HeldWeights, Target
from ragwortcourse.identifiers import (
    Address,
    DaemonId,
    FailureDomainName,
    ModelName,
    ServiceName,
)
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform.weight_source import build_weight_downloader
from ragwortcourse.settings import ListenSettings, LoaderSettings
from ragwortcourse.weights.chunk_cache import ChunkCache
from ragwortcourse.weights.engine_switch import switch_engine
from ragwortcourse.weights.loader_sources import LoaderSources
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.loader_weights_ports import LoaderWeightsPorts
from ragwortcourse.weights.planning.held_manifest import HeldManifest
from ragwortcourse.weights.planning.loader_demand import LoaderDemand
from ragwortcourse.weights.relay_downloader import RelayDownloader, build_cache
from ragwortcourse.weights.version_drawing import download_versions

BYTES_IN_MEGABIT = 125_000
SAMPLE_SECONDS = 0.05
# Before the first naming; engines are added from then on.
START_SECONDS = 6.0
REGISTRATION_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetCase:
    """What happens to a fleet, in seconds from the first naming.

    :param namings: when each version from 2 on is named.
    :param away: when the origin goes away and comes back.
    :param corrupting: when what the origin sends begins and ceases to arrive
        corrupted.
    :param added: when engines without weights are added.
    :param restarts: when a relay is restarted.
    """

    relays: int = 37
    loaders: int = 18
    chunks: int = 96
    chunk_bytes: int = 24_576
    origin_mbps: float = 4.38
    link_mbps: float = 3.65
    line_mbps: float = 11.5
    bound: float = 13.4
    namings: Sequence[float] = (0.0,)
    away: tuple[float, float] = (0.0, 0.0)
    corrupting: tuple[float, float] = (0.0, 0.0)
    added: Sequence[float] = ()
    restarts: Sequence[float] = ()
    seconds: float = 30.0

    @property
    def copy_seconds(self) -> float:
        """Seconds of the origin's link for one copy."""
        size = self.chunks * self.chunk_bytes
        return size / (self.origin_mbps * BYTES_IN_MEGABIT)

    @property
    def floor_seconds(self) -> float:
        """Seconds in which no version can be complete at a loader."""
        return self.copy_seconds * (1 + self.origin_mbps / self.link_mbps)


class FleetLoader:
    """A loader and its engine."""

    def __init__(self, fleet: 'WeightFleet', number: int, version: int) -> None:
        self.engine = StagedEngine(version=version)
        domain = fleet.domains[number % len(fleet.domains)]
        self.host = f'10.{1 + number // 250}.1.{number % 250}'
        self.domain = domain
        session = WeightSession(links=fleet.links, region=REGIONS[domain])
        sources = LoaderSources(
            downloader=build_weight_downloader(
                session=session,  # type: ignore[arg-type]
                state=fleet.state,
            ),
            domain=domain,
            list_relays=fleet.list_relays,
        )
        self.weights = LoaderWeights(
            fleet=fleet.settings,
            loader=LoaderSettings(
                engine=f'{self.host}:9',
                service=ENGINES,
                link_mbps=fleet.case.link_mbps,
            ),
            state=fleet.state,
            ports=LoaderWeightsPorts(
                engine=self.engine,
                read_manifest=sources.read_manifest,
                download_chunk=sources.download_chunk,
                announce=self._announce,
                list_service=fleet.list_service,
            ),
        )
        if version:
            for index in range(fleet.case.chunks):
                self.engine.stage[index] = make_chunk(version, index)
        manifest = HeldManifest(loader_weights=self.weights)
        fleet.links.listen(
            f'{self.host}:1',
            REGIONS[domain],
            self.weights.find_chunk,
            manifest.find,
        )
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (
                download_versions(self.weights),
                switch_engine(self.weights),
                manifest.keep(),
            )
        ]

    @property
    def target(self) -> Target:
        """Entry of the engine in the store."""
        version = self.engine.version
        held = HeldWeights(version=version, first=0, end=16)
        return make_target(
            self.host,
            address=f'{self.host}:9',
            failure_domain=self.domain,
            weights=held if version else None,
        )

    async def _announce(self, message: SwitchMessage) -> None:
        """Tell nobody: there are no callers."""


class WeightFleet:
    """A fleet in virtual time.

    :ivar held_at: when the first and the last engine held each version,
        in seconds from the first naming.
    :ivar idle_seconds: time in which no engine held a valid version.
    :ivar invalid_share: share of the engines' time without a valid version.
    """

    def __init__(self, case: FleetCase) -> None:
        self.case = case
        self.settings = msgspec.structs.replace(
            FLEET, version_ms=case.bound * 1000
        )
        self.domains: list[FailureDomainName] = sorted(REGIONS)
        rules = dataclasses.replace(
            ENGINE_RULES, chunks=case.chunks, chunk_bytes=case.chunk_bytes
        )
        origin = ServiceName('origin')
        self.state = FleetState(
            desired=DesiredState(
                version=1,
                routes={},
                services={
                    ENGINES: ServiceRules(name=ENGINES, engine=rules),
                    origin: ServiceRules(
                        name=origin,
                        connections=64,
                        origin=ORIGIN,
                        origin_domain=self.domains[1],
                        origin_rate=case.origin_mbps * BYTES_IN_MEGABIT,
                    ),
                },
            )
        )
        self.links = WeightLinks(
            chunks=case.chunks,
            chunk_bytes=case.chunk_bytes,
            origin_rate=case.origin_mbps * BYTES_IN_MEGABIT,
            line_rate=case.line_mbps * BYTES_IN_MEGABIT / 2,
            origin_region=REGIONS[self.domains[1]],
        )
        self.relays: dict[DaemonId, RelayRecord] = {}
        self.caches: dict[DaemonId, ChunkCache] = {}
        self.loaders: list[FleetLoader] = []
        self.held_at: dict[int, tuple[float, float]] = {}
        self.idle_seconds = 0.0
        self.invalid_share = 0.0
        self._prefetches: dict[DaemonId, asyncio.Future[None]] = {}
        self._began_at = 0.0
        self._rng = random.Random(1)

    async def list_relays(self) -> Sequence[RelayRecord]:
        """List the registered relays."""
        return list(self.relays.values())

    async def list_service(self) -> Sequence[Target]:
        """List the engines."""
        return list(self.state.targets.values())

    async def play(self) -> None:
        """Play the case."""
        for number in range(self.case.relays):
            self._start_relay(number)
        for number in range(self.case.loaders):
            self.loaders.append(FleetLoader(self, number, 1))
        self._register()
        adding = asyncio.gather(*(self._add(at) for at in self.case.added))
        await asyncio.sleep(START_SECONDS)
        self._began_at = read_clock()
        works = [self._watch(), self._disturb()]
        works += [
            self._name(at, 2 + n) for n, at in enumerate(self.case.namings)
        ]
        works += [self._restart(at) for at in self.case.restarts]
        await asyncio.gather(adding, *works)
        tasks = list(self._prefetches.values())
        for loader in self.loaders:
            tasks.extend(loader.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for cache in self.caches.values():
            await cache.stop()

    def _start_relay(self, number: int) -> None:
        domain = self.domains[number % len(self.domains)]
        daemon = DaemonId(f'entry-{number}')
        address = Address(f'10.0.0.{number + 1}:1')
        settings = make_settings(
            daemon=daemon,
            failure_domain=domain,
            region=REGIONS[domain],
            listen=ListenSettings(peers=address, watch='127.0.0.1:2'),
            fleet=self.settings,
        )
        session = WeightSession(links=self.links, region=REGIONS[domain])
        demand = LoaderDemand(state=self.state)
        downloader = RelayDownloader(
            settings=settings,
            downloader=build_weight_downloader(
                session=session,  # type: ignore[arg-type]
                state=self.state,
                demand=demand,
            ),
            list_relays=self.list_relays,
            rng=self._rng,
            is_alive=lambda daemon: True,
        )
        cache = build_cache(downloader=downloader, demand=demand)
        self.caches[daemon] = cache
        self.relays[daemon] = RelayRecord(
            daemon=daemon,
            address=address,
            failure_domain=domain,
            region=REGIONS[domain],
        )
        self.links.listen(
            address,
            REGIONS[domain],
            cache.find,
            cache.find_manifest,
            demand.note,
        )
        self._prefetches[daemon] = asyncio.ensure_future(
            _run_both(
                cache.prefetch_deployed(self._list_named),
                cache.manifests.keep(demand.list_in_service),
            )
        )

    def _list_named(self) -> list[tuple[ModelName, int]]:
        weights = self.state.weights
        return [(model, named[-1].version) for model, named in weights.items()]

    async def _restart(self, at: float) -> None:
        await asyncio.sleep(at)
        daemon = self._rng.choice(sorted(self.caches))
        self.links.stop(self.relays[daemon].address)
        self._prefetches[daemon].cancel()
        await self.caches[daemon].stop()
        await asyncio.sleep(1)
        self._start_relay(int(daemon.removeprefix('entry-')))

    async def _name(self, at: float, version: int) -> None:
        await asyncio.sleep(at)
        self.links.newest = version
        known = self.state.weights.get(MODEL, ())
        named = AnnouncedVersion(version=version, seen_at=read_clock())
        self.state.weights[MODEL] = (*known, named)

    async def _add(self, at: float) -> None:
        await asyncio.sleep(at + START_SECONDS)
        self.loaders.append(FleetLoader(self, len(self.loaders), 0))

    async def _disturb(self) -> None:
        async def switch(field: str, span: tuple[float, float]) -> None:
            if span[1] > span[0]:
                await asyncio.sleep(span[0])
                setattr(self.links, field, True)
                await asyncio.sleep(span[1] - span[0])
                setattr(self.links, field, False)

        await asyncio.gather(
            switch('away', self.case.away),
            switch('corrupting', self.case.corrupting),
        )

    def _register(self) -> None:
        targets = [loader.target for loader in self.loaders]
        self.state.targets = {target.name: target for target in targets}

    async def _watch(self) -> None:
        samples = invalid = 0
        while read_clock() - self._began_at < self.case.seconds:
            await asyncio.sleep(SAMPLE_SECONDS)
            now = read_clock()
            self._register()
            versions = [loader.engine.version for loader in self.loaders]
            required = max(
                (
                    each.version
                    for each in self.state.weights.get(MODEL, ())
                    if now - each.seen_at > self.case.bound
                ),
                default=1,
            )
            valid = sum(version >= required for version in versions)
            samples += len(versions)
            invalid += len(versions) - valid
            if not valid:
                self.idle_seconds += SAMPLE_SECONDS
            for version in range(2, max(versions) + 1):
                at = now - self._began_at
                first, last = self.held_at.get(version, (at, 0.0))
                if not last and min(versions) >= version:
                    last = at
                self.held_at[version] = (first, last)
        self.invalid_share = invalid / samples

    def describe(self) -> str:
        """Describe the results in one line."""
        size = self.case.chunks * self.case.chunk_bytes
        copies = {
            version: round(sent / size, 2)
            for version, sent in sorted(self.links.sent.items())
        }
        newest = 1 + len(self.case.namings)
        first, last = self.held_at.get(newest, (0.0, 0.0))
        since = max(self.case.namings[-1], self.case.away[1])
        floor = self.case.floor_seconds
        lines = {
            f'{way[0]}>{way[1]}': round(crossed / size, 2)
            for way, crossed in sorted(self.links.crossed.items())
        }
        return (
            f'copies {copies}; newest at the first engine {first:.1f} s, at '
            f'the last {last:.1f} s ({(last - since) / floor:.2f} floors of '
            f'{floor:.1f} s); no engine valid {self.idle_seconds:.1f} s, '
            f'engines invalid {self.invalid_share:.3f}; copies between '
            f'regions {lines}'
        )


CASES = {
    'well': FleetCase(),
    'away': FleetCase(namings=(0.0, 3.0), away=(2.5, 8.5)),
    'away-one': FleetCase(away=(0.2, 6.0)),
    'three': FleetCase(namings=(0.0, 3.0, 6.0)),
    'narrow': FleetCase(namings=(0.0, 8.0), origin_mbps=1.9),
    'corrupting': FleetCase(
        namings=(12.0,), corrupting=(1.0, 9.0), added=(2.0, 2.5, 3.0)
    ),
    'added': FleetCase(namings=(0.0,), added=(-4.9, -4.0, -2.0, 1.0)),
    'restarts': FleetCase(restarts=(0.5, 1.0, 1.5, 2.0, 2.5, 3.0)),
    'wide': FleetCase(
        chunks=64, chunk_bytes=32_768, origin_mbps=9.9, link_mbps=3.8, bound=8
    ),
}


async def _run_both(*works: Coroutine[None, None, None]) -> None:
    await asyncio.gather(*works)


def play_case(case: FleetCase) -> WeightFleet:
    """Play a case in virtual time."""
    return run_in_virtual_time(_play(case))


async def _play(case: FleetCase) -> WeightFleet:
    fleet = WeightFleet(case)
    await fleet.play()
    return fleet


@click.command()
@click.option('--case', 'names', multiple=True, type=click.Choice([*CASES]))
@click.option('--loaders', default=0, help='Number of loaders.')
def main(names: Sequence[str], loaders: int) -> None:
    """Play cases and print their results."""
    for name in names or CASES:
        case = CASES[name]
        if loaders:
            case = dataclasses.replace(case, loaders=loaders)
        click.echo(f'{name}: {play_case(case).describe()}')


if __name__ == '__main__':
    main()
