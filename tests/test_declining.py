"""Tests of :mod:`ragwortcourse.weights.declining`."""

import itertools
import random

import aiohttp
import pytest
from aiohttp import test_utils, web

from fakes.landings import LandingFleet
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.weights.declining import is_decline_due
from ragwortcourse.weights.http_peers import build_http_peers
from ragwortcourse.weights.manifest import Manifest, read_manifest
from ragwortcourse.weights.peer_port import (
    ChunkContent,
    ChunkDeclined,
    ChunkRequest,
)
from ragwortcourse.weights.routes import build_weight_routes

CHUNK = 6554


def replay(lacking: float, chunks: int) -> list[int]:
    """Return the declined chunks if each is asked for by one leaf."""
    declined: list[int] = []
    for index in range(chunks):
        if is_decline_due(
            lacking=lacking,
            chunks=chunks,
            index=index,
            declined=len(declined),
        ):
            declined.append(index)
    return declined


class TestDue:
    """Choice of the declined chunks."""

    @pytest.mark.parametrize(
        ('lacking', 'chunks', 'number'),
        [(2.04, 100, 3), (1.22, 600, 2), (60, 300, 60), (0.1, 2048, 1)],
    )
    def test_declines_are_spread(self, lacking, chunks, number):
        """As many chunks as are lacking, none near another or at the end."""
        declined = replay(lacking, chunks)
        gaps = [
            later - earlier for earlier, later in itertools.pairwise(declined)
        ]
        step = chunks // number
        assert len(declined) == number
        assert all(step - 1 <= gap <= step + 1 for gap in gaps)
        assert declined[-1] <= chunks - step // 2

    def test_enough_budget_declines_nothing(self):
        """A host whose budget covers all sends declines none."""
        assert not replay(-0.5, 100) + replay(0, 100)


class TestLeaves:
    """Hosts for which nobody waits."""

    @pytest.mark.looptime
    async def test_no_refusals_at_the_last_chunks(self):
        """Declining in time leaves enough budget for all later chunks."""
        fleet = LandingFleet(
            hosts=16,
            regions_by_domain={
                f'd{each}': f'r{each // 4}' for each in range(8)
            },
            rate=10 * CHUNK,
            line_rate=10 * CHUNK,
            chunk_memory=64 * CHUNK,
        )
        content = random.Random(1).randbytes(100 * CHUNK)
        fleet.deploy('v1', fleet.publish('v1', content, CHUNK))
        fleet.start()
        await fleet.wait_for('v1', 60)
        refusing = {
            peer
            for host in fleet.hosts.values()
            for transfer in host.agent_weights.exchange.transfers.values()
            for peer in transfer.exhausted_peers
        }
        await fleet.stop()
        assert not refusing

    @pytest.mark.parametrize(
        ('leaf', 'answer'), [(True, ChunkDeclined), (False, ChunkContent)]
    )
    async def test_only_a_leaf_is_declined(self, leaf, answer):
        """Over HTTP, a request of a host that passes chunks on is served."""
        fleet = LandingFleet(hosts=4, regions_by_domain={'a': 'r', 'b': 'r'})
        digest = fleet.publish('v1', bytes(100), 10)
        weights = fleet.hosts['host-000'].agent_weights
        transfer = weights.open_transfer(digest)
        outcome = await weights.ports.origin.read_manifest(digest)
        transfer.keep_manifest(outcome.content)
        manifest = read_manifest(outcome.content, digest)
        assert isinstance(manifest, Manifest)
        transfer.manifest = manifest
        transfer.counts.overhead = 1
        transfer.keep(7, bytes(10))
        app = web.Application()
        app.add_routes(build_weight_routes(agent_weights=weights))
        request = ChunkRequest(
            manifest=digest, index=7, sender=DaemonId('host-002'), leaf=leaf
        )
        async with (
            test_utils.TestServer(app) as server,
            aiohttp.ClientSession() as session,
        ):
            port = build_http_peers(session=session)
            received = await port.fetch(f'{server.host}:{server.port}', request)
        assert isinstance(received, answer)
