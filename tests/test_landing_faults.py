"""Tests of weight distribution under injected faults."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from fakes.faults import Fault
from fakes.landings import MODEL, LandingFleet
from fakes.links import ORIGIN
from fakes.origin import name_chunk
from ragwortcourse.identifiers import DaemonId, VersionName
from ragwortcourse.weights.manifest import Manifest, digest_bytes

pytestmark = pytest.mark.looptime
# One region with two failure domains and one region with one.
PLACES = {'a': 'r1', 'b': 'r1', 'c': 'r2'}
CONTENT = random.Random(1).randbytes(60_000)
# Time to transfer one copy of the weights over a link.
FLOOR_SECONDS = 6.0
PATIENCE_SECONDS = 240.0
V1 = VersionName('v1')


def make_fleet(**options) -> LandingFleet:
    """Make nine hosts and deploy the first version to them."""
    fleet = LandingFleet(hosts=9, regions_by_domain=PLACES, **options)
    fleet.deploy('v1', fleet.publish('v1', CONTENT))
    return fleet


async def corrupt_at_origin(fleet: LandingFleet):
    """Corrupt every fifth chunk from the origin twice."""
    for index in range(0, 60, 5):
        fleet.store.corrupt[name_chunk(MODEL, V1, index)] = 2


async def corrupt_on_way(fleet: LandingFleet):
    """Corrupt one in twenty chunks between hosts."""
    fleet.network.damage = 0.05


async def corrupt_at_peer(fleet: LandingFleet):
    """Corrupt all chunks that one host sends."""
    fleet.network.damaging.add('host-000')


async def stall_links(fleet: LandingFleet):
    """Stall all links from two hosts."""
    for name in fleet.hosts:
        fleet.network.stalled |= {('host-001', name), ('host-002', name)}


async def kill_half(fleet: LandingFleet):
    """Kill four of nine hosts half-way."""
    await asyncio.sleep(FLOOR_SECONDS / 2)
    await fleet.kill('host-000', 'host-001', 'host-002', 'host-003')


async def join_half_way(fleet: LandingFleet):
    """Add three hosts half-way."""
    await asyncio.sleep(FLOOR_SECONDS / 2)
    for number, domain in enumerate(PLACES):
        fleet.start(fleet.add_host(f'late-{number}', domain).name)


async def stop_origin_at_start(fleet: LandingFleet):
    """Stop the origin for 30 s from the start."""
    fleet.store.faults.set(Fault.DOWN)
    await asyncio.sleep(30)
    fleet.store.faults.set(None)


async def stop_origin_half_way(fleet: LandingFleet):
    """Stop the origin for 30 s half-way."""
    await asyncio.sleep(FLOOR_SECONDS / 2)
    await stop_origin_at_start(fleet)


async def slow_origin(fleet: LandingFleet):
    """Make the origin take 1 s for each chunk."""
    fleet.store.faults.set(Fault.SLOW, seconds=1)


async def limit_origin(fleet: LandingFleet):
    """Limit the origin to five requests per second."""
    fleet.store.requests_per_second = 5


async def cut_domain(fleet: LandingFleet):
    """Partition a failure domain half-way for 30 s."""
    await asyncio.sleep(FLOOR_SECONDS / 2)
    fleet.network.cut(frozenset({'host-001', 'host-004', 'host-007'}))
    await asyncio.sleep(30)
    assert fleet.count_serving('v1') >= 6
    fleet.network.islands.clear()


async def cut_region(fleet: LandingFleet):
    """Partition the region without the origin half-way for 30 s."""
    await asyncio.sleep(FLOOR_SECONDS / 2)
    fleet.network.cut(frozenset({'host-002', 'host-005', 'host-008'}))
    await asyncio.sleep(30)
    fleet.network.islands.clear()


async def restart_engine(fleet: LandingFleet):
    """Restart an engine half-way through its chunks."""
    await asyncio.sleep(FLOOR_SECONDS / 2)
    fleet.hosts['host-004'].engine.die()


FAULTS: list[Callable[[LandingFleet], Awaitable[None]]] = [
    corrupt_at_origin,
    corrupt_on_way,
    corrupt_at_peer,
    stall_links,
    kill_half,
    join_half_way,
    stop_origin_at_start,
    stop_origin_half_way,
    slow_origin,
    limit_origin,
    cut_domain,
    cut_region,
    restart_engine,
]


class TestLandingUnderFaults:
    """Deployed versions arrive intact or are not served."""

    @pytest.mark.parametrize('cause', FAULTS, ids=lambda fault: fault.__name__)
    @pytest.mark.parametrize('seed', [1, 2])
    async def test_every_live_target_gets_the_version(self, cause, seed):
        """A fault may delay a version but neither stops nor corrupts it.

        The fake engine verifies the digest of its content.
        """
        fleet = make_fleet(seed=seed)
        fleet.start()
        causing = asyncio.create_task(cause(fleet))
        await fleet.wait_for('v1', PATIENCE_SECONDS)
        await causing
        await fleet.wait_for('v1', PATIENCE_SECONDS)
        sent = fleet.store.bytes_sent / len(CONTENT)
        await fleet.stop()
        assert sent <= 4.0, f'{sent} copies from the origin'

    async def test_peer_that_damages_chunks_is_shut_out(self):
        """A peer that keeps sending corrupted chunks is no longer used."""
        fleet = make_fleet()
        await corrupt_at_peer(fleet)
        fleet.start()
        await fleet.wait_for('v1', PATIENCE_SECONDS)
        shutters = [
            host.name
            for host in fleet.hosts.values()
            if host.agent_weights.exchange.health.is_ejected(
                DaemonId('host-000')
            )
        ]
        await fleet.stop()
        assert shutters

    async def test_what_hosts_hold_together_is_enough(self):
        """Hosts finish without the origin once they jointly hold all chunks."""
        fleet = make_fleet()
        fleet.start()
        for index in range(60):
            while not fleet.holds(index):  # no event
                await asyncio.sleep(0.05)
        fleet.store.faults.set(Fault.DOWN)
        await fleet.wait_for('v1', PATIENCE_SECONDS)
        await fleet.stop()

    async def test_changed_version_replaces_the_one_under_way(self):
        """A version that is replaced half-way is not served on any host."""
        fleet = make_fleet()
        fleet.start()
        await asyncio.sleep(FLOOR_SECONDS / 2)
        fleet.deploy('v2', fleet.publish('v2', CONTENT[::-1]))
        await fleet.wait_for('v2', PATIENCE_SECONDS)
        assert fleet.count_serving('v1') == 0
        await fleet.stop()

    async def test_withdrawn_version_leaves_nothing_behind(self):
        """Removing a deployment half-way frees the memory of its chunks."""
        fleet = make_fleet()
        fleet.start()
        await asyncio.sleep(FLOOR_SECONDS / 2)
        fleet.accept(())
        await asyncio.sleep(1)
        held = [
            host.agent_weights.exchange.memory.used
            for host in fleet.hosts.values()
        ]
        await fleet.stop()
        assert sum(held) == 0

    @pytest.mark.parametrize(
        'lie',
        [
            {'sha256': digest_bytes(b'other')},
            {'version': VersionName('v1')},
            {'size': 10},
            {'chunk_size': 0},
        ],
        ids=str,
    )
    async def test_lying_manifest_leaves_the_old_version(self, lie):
        """An inconsistent manifest is refused; the old version is served."""
        fleet = make_fleet()
        fleet.start()
        await fleet.wait_for('v1', PATIENCE_SECONDS)
        other = CONTENT[::-1]
        true = Manifest(
            model=MODEL,
            version=VersionName('v2'),
            size=len(other),
            sha256=digest_bytes(other),
            chunk_size=1000,
            chunks=tuple(
                digest_bytes(other[start : start + 1000])
                for start in range(0, len(other), 1000)
            ),
        )
        fleet.publish('v2', other)
        lying = msgspec.structs.replace(true, **lie)
        digest = fleet.publish_manifest(lying)
        fleet.deploy('v2', digest)
        await asyncio.sleep(60)
        served = (fleet.count_serving('v1'), fleet.count_serving('v2'))
        refused = [
            digest in host.agent_weights.state.refused
            for host in fleet.hosts.values()
        ]
        await fleet.stop()
        assert served == (9, 0)
        assert all(refused)


class TestBoundsUnderFaults:
    """Bounds of time and link use while hosts die or lines are slow.

    A floor is the time to transfer one copy of the weights over a link.
    """

    async def test_a_fifth_killed_half_way(self):
        """Survivors need at most 1.5 floors and 2 copies per link."""
        chunk = 6554
        places = {f'domain-{each}': f'r{each // 4}' for each in range(8)}
        fleet = LandingFleet(
            hosts=16,
            regions_by_domain=places,
            rate=10 * chunk,
            line_rate=10 * chunk,
            chunk_memory=64 * chunk,
        )
        content = random.Random(1).randbytes(100 * chunk)
        fleet.deploy('v1', fleet.publish('v1', content, chunk))
        fleet.start()
        floor = 10.0
        waiting = asyncio.create_task(fleet.wait_for('v1', PATIENCE_SECONDS))
        await asyncio.sleep(floor / 2)
        await fleet.kill(*random.Random(2).sample(list(fleet.hosts), 3))
        seconds = await waiting
        links = [
            fleet.network.up[name].carried + fleet.network.down[name].carried
            for name in fleet.hosts
        ]
        await fleet.stop()
        assert seconds <= 1.5 * floor
        assert max(links) <= 2 * len(content)

    @pytest.mark.parametrize('seed', [4, 6])
    async def test_killed_sources_leave_the_line_idle(self, seed):
        """Requests that wait at a source hold up no others across regions.

        A host asks one source in another region for chunks that come late, as
        a host before it died, and another source for chunks that it holds.
        """
        fleet, size = make_slow_fleet(hosts=16, chunks=100)
        fleet.start()
        waiting = asyncio.create_task(fleet.wait_for('v1', PATIENCE_SECONDS))
        await asyncio.sleep(5)
        await fleet.kill(*random.Random(seed).sample(list(fleet.hosts), 3))
        seconds = await waiting
        link, origin = measure_links(fleet, size)
        await fleet.stop()
        assert seconds <= 1.5 * 10
        assert link <= 2
        assert origin <= 4

    @pytest.mark.parametrize('seed', [2, 3])
    async def test_a_fifth_of_24_hosts_killed(self, seed):
        """Survivors get 300 chunks in 1.5 floors with 2 copies per link."""
        fleet, size = make_slow_fleet(hosts=24, chunks=300)
        fleet.start()
        waiting = asyncio.create_task(fleet.wait_for('v1', PATIENCE_SECONDS))
        await asyncio.sleep(15)
        await fleet.kill(*random.Random(seed).sample(list(fleet.hosts), 5))
        seconds = await waiting
        link, origin = measure_links(fleet, size)
        await fleet.stop()
        assert seconds <= 1.5 * 30
        assert link <= 2
        assert origin <= 4

    async def test_links_that_stop_for_a_moment(self):
        """Links that all stop for 1.5 s cost no sources: 1.5 floors.

        Nothing is lost meanwhile, and hosts that took each other for dead
        would go to the origin.
        """
        fleet, size = make_slow_fleet(hosts=16, chunks=100)
        fleet.start()
        waiting = asyncio.create_task(fleet.wait_for('v1', PATIENCE_SECONDS))
        await asyncio.sleep(5)
        fleet.network.stop_links(*fleet.hosts, ORIGIN, seconds=1.5)
        seconds = await waiting
        link, origin = measure_links(fleet, size)
        await fleet.stop()
        assert seconds <= 1.5 * 10
        assert link <= 2
        assert origin <= 4

    async def test_narrow_line_between_regions(self):
        """A line with half a link's rate keeps links within 2 copies."""
        fleet, size = make_slow_fleet(hosts=16, chunks=150, line_share=0.5)
        fleet.start()
        seconds = await fleet.wait_for('v1', PATIENCE_SECONDS)
        link, origin = measure_links(fleet, size)
        await fleet.stop()
        assert seconds <= 1.5 * 30
        assert link <= 2
        assert origin <= 4

    async def test_very_narrow_line_between_regions(self):
        """Links of 1 Gbit/s with a 12 Mbit/s line stay within all bounds."""
        share = 12 / 1000
        fleet, size = make_slow_fleet(
            hosts=16, chunks=60, line_share=share, per_second=120
        )
        fleet.start()
        seconds = await fleet.wait_for('v1', 20 * PATIENCE_SECONDS)
        link, origin = measure_links(fleet, size)
        await fleet.stop()
        assert origin <= 4
        assert link <= 2
        assert seconds <= 1.5 * 60 / 120 / share


def make_slow_fleet(
    *,
    hosts: int,
    chunks: int,
    line_share: float = 1,
    per_second: int = 10,
) -> tuple[LandingFleet, int]:
    """Make hosts in eight failure domains in two regions.

    :param line_share: rate of the line between regions, as a share of the
        rate of a host's link.
    :param per_second: chunks per second that a host's link carries.
    :return: the fleet and the bytes of the version.
    """
    chunk = 6554
    fleet = LandingFleet(
        hosts=hosts,
        regions_by_domain={
            f'domain-{each}': f'r{each // 4}' for each in range(8)
        },
        rate=per_second * chunk,
        line_rate=per_second * chunk * line_share,
        chunk_memory=64 * chunk,
    )
    content = random.Random(1).randbytes(chunks * chunk)
    fleet.deploy('v1', fleet.publish('v1', content, chunk))
    return fleet, len(content)


def measure_links(fleet: LandingFleet, size: int) -> tuple[float, float]:
    """Return the copies over the busiest host link and the origin's link."""
    network = fleet.network
    links = [
        network.up[name].carried + network.down[name].carried
        for name in fleet.hosts
    ]
    return max(links) / size, network.up[ORIGIN].carried / size
