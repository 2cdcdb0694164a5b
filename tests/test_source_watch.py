"""Tests of :mod:`ragwortcourse.weights.source_watch`."""

import asyncio
import random

import pytest

from fakes.faults import Fault
from fakes.landings import LandingFleet
from fakes.links import ORIGIN
from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId, Sha256Hex
from ragwortcourse.weights.http_peers import list_options
from ragwortcourse.weights.peer_health import PeerHealth
from ragwortcourse.weights.peer_port import ChunkNotReady, ChunkRequest
from ragwortcourse.weights.serving import offer_chunk
from ragwortcourse.weights.source_watch import watch_sources

pytestmark = pytest.mark.looptime
CHUNK = 6554
DEAD = DaemonId('host-001')
OTHER = DaemonId('host-002')


def make_fleet(hosts: int = 6) -> LandingFleet:
    """Make hosts in three failure domains; chunks take 0.1 s."""
    fleet = LandingFleet(
        hosts=hosts,
        regions_by_domain={'a': 'r', 'b': 'r', 'c': 'r'},
        rate=10 * CHUNK,
        chunk_memory=64 * CHUNK,
    )
    content = random.Random(1).randbytes(100 * CHUNK)
    fleet.deploy('v1', fleet.publish('v1', content, CHUNK))
    return fleet


def list_silent(fleet: LandingFleet) -> dict[str, frozenset[DaemonId]]:
    """Return for each host the peers that it avoids."""
    return {
        host.name: host.agent_weights.exchange.health.list_ejected()
        for host in fleet.hosts.values()
    }


class TestDeadSource:
    """A source that dies with requests under way."""

    async def test_receiver_does_not_wait_for_the_connection(self):
        """A receiver knows of the death before connections time out."""
        fleet = make_fleet()
        fleet.start()
        await asyncio.sleep(5)
        await fleet.kill(DEAD)
        await asyncio.sleep(1.5)
        silent = list_silent(fleet)
        await fleet.stop()
        # The other host of its failure domain gets every second chunk from it.
        assert DEAD in silent['host-004']

    async def test_dead_next_source_costs_no_second_time_out(self):
        """A receiver whose two next sources die finds both out early."""
        fleet = make_fleet()
        fleet.start()
        await asyncio.sleep(5)
        await fleet.kill(DEAD, 'host-000')
        await asyncio.sleep(3)
        silent = list_silent(fleet)
        await fleet.stop()
        assert {DEAD, DaemonId('host-000')} <= silent['host-004']


class TestLiveSource:
    """Sources that live, with or without chunks."""

    async def test_waiting_sources_are_not_given_up(self):
        """Hosts that all wait for the origin do not avoid each other."""
        fleet = make_fleet()
        fleet.start()
        await asyncio.sleep(3)
        fleet.store.faults.set(Fault.DOWN)
        await asyncio.sleep(20)
        silent = list_silent(fleet)
        fleet.store.faults.set(None)
        await fleet.wait_for('v1', 60)
        await fleet.stop()
        assert not any(silent.values())

    @pytest.mark.parametrize('stopped', ['host-004', 'all'])
    async def test_host_whose_link_stops_gives_its_sources_up(self, stopped):
        """A host whose own link stops for a moment avoids no source for it.

        It hears from nobody meanwhile, and nothing is lost.
        """
        fleet = make_fleet()
        fleet.start()
        await asyncio.sleep(5)
        names = tuple(fleet.hosts) if stopped == 'all' else (stopped,)
        fleet.network.stop_links(*names, ORIGIN, seconds=1.5)
        await asyncio.sleep(2)
        silent = list_silent(fleet)
        await fleet.wait_for('v1', 60)
        await fleet.stop()
        assert not any(silent[name] for name in names)

    @pytest.mark.parametrize('hosts', [6, 2])
    async def test_dead_only_source(self, hosts):
        """A source that dies is found out even if it was the only one asked.

        No other host answers meanwhile, as none has been asked or there is
        none.
        """
        fleet = make_fleet(hosts)
        weights = fleet.hosts['host-000'].agent_weights
        digest = Sha256Hex('0' * 64)
        transfer = weights.open_transfer(digest)
        source = transfer.tree.find_member(DEAD)
        assert source is not None
        await fleet.kill(DEAD)
        health = weights.exchange.health
        async with watch_sources(weights, transfer):
            with pytest.raises(TimeoutError):
                async with health.limit_wait(DEAD, 60):
                    await asyncio.sleep(3)
        assert health.list_ejected() == {DEAD}

    @pytest.mark.parametrize('number', [0, 1_000_000])
    async def test_probe_is_answered_at_once(self, number):
        """A peer answers a probe even if it lacks the transfer."""
        fleet = make_fleet()
        weights = fleet.hosts['host-000'].agent_weights
        digest = Sha256Hex(f'{number:064}')
        if number:
            weights.open_transfer(digest)
        request = ChunkRequest(
            manifest=digest, index=0, sender=OTHER, probe=True
        )
        began = read_clock()
        async with offer_chunk(weights, request) as answer:
            assert answer == ChunkNotReady()
        assert read_clock() == began
        assert list_options(request) == {'probe': '1'}


class TestQuiet:
    """Choice of the source to probe."""

    async def test_longest_quiet_source_comes_first(self):
        """Sources that answer or have no requests under way are not probed."""
        health = PeerHealth()
        async with health.limit_wait(DEAD, 9):
            await asyncio.sleep(0.3)
            async with health.limit_wait(OTHER, 9):
                await asyncio.sleep(0.3)
                chosen = [health.take_quiet(0.5), health.take_quiet(0.5)]
                health.note_answer(DEAD)
                await asyncio.sleep(0.3)
                chosen.append(health.take_quiet(0.5))
        await asyncio.sleep(1)
        assert chosen == [DEAD, None, OTHER]
        assert health.take_quiet(0.5) is None
