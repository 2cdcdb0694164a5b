"""Tests of the transfer of chunks between agents over HTTP."""

import contextlib
import random
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import test_utils, web

from fakes.landings import LandingFleet
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.http_peers import build_http_peers
from ragwortcourse.weights.manifest import digest_bytes
from ragwortcourse.weights.peer_port import (
    MANIFEST_INDEX,
    ChunkContent,
    ChunkEvicted,
    ChunkOutcome,
    ChunkPort,
    ChunkRefused,
    ChunkRequest,
)
from ragwortcourse.weights.routes import build_weight_routes

CONTENT = random.Random(1).randbytes(30_500)
FAST = 1_000_000_000


class Peer:
    """An agent that holds a version, with a client for its peers port."""

    def __init__(
        self, *, landing: AgentWeights, port: ChunkPort, address: str
    ) -> None:
        self.landing = landing
        ((digest, transfer),) = landing.exchange.transfers.items()
        self.digest = digest
        self.transfer = transfer
        self._port = port
        self.address = address

    async def fetch(self, index: int) -> ChunkOutcome:
        """Request a chunk."""
        request = ChunkRequest(
            manifest=self.digest, index=index, sender=DaemonId('other')
        )
        return await self._port.fetch(self.address, request)


@contextlib.asynccontextmanager
async def open_peer(link_rate: int = 0) -> AsyncIterator[Peer]:
    """Start an agent with a live request, in real time over loopback."""
    fleet = LandingFleet(
        hosts=1,
        regions_by_domain={'a': 'r'},
        rate=FAST,
        line_rate=FAST,
        link_rate=link_rate,
    )
    fleet.deploy('v1', fleet.publish('v1', CONTENT, 10_000))
    fleet.start()
    await fleet.wait_for('v1', seconds=20)
    (host,) = fleet.hosts.values()
    fleet.live[host.name] = 1
    app = web.Application()
    app.add_routes(build_weight_routes(agent_weights=host.agent_weights))
    async with (
        test_utils.TestServer(app) as server,
        aiohttp.ClientSession() as session,
    ):
        yield Peer(
            landing=host.agent_weights,
            port=build_http_peers(session=session),
            address=f'127.0.0.1:{server.port}',
        )
    await fleet.stop()


class TestChunkPort:
    """Answers of a peer to chunk requests."""

    @pytest.mark.parametrize('link_rate', [0, 100_000])
    async def test_gives_chunks_whole(self, link_rate: int):
        """Chunks arrive unchanged with and without pacing."""
        async with open_peer(link_rate) as peer:
            for index in range(3):
                start = index * 10_000
                assert await peer.fetch(index) == ChunkContent(
                    content=CONTENT[start : start + 10_000]
                )

    async def test_gives_the_manifest(self):
        """The bytes of the manifest have its digest."""
        async with open_peer() as peer:
            outcome = await peer.fetch(MANIFEST_INDEX)
            assert isinstance(outcome, ChunkContent)
            assert digest_bytes(outcome.content) == peer.digest

    async def test_sends_on_what_it_has_let_go(self):
        """A request for an evicted chunk gets ``ChunkEvicted``."""
        async with open_peer() as peer:
            while peer.transfer.held.evict():
                pass
            assert await peer.fetch(0) == ChunkEvicted()

    async def test_refuses_beyond_its_copies(self):
        """A host whose link budget for the version is used up refuses."""
        async with open_peer() as peer:
            peer.transfer.counts.sent = 2 * len(CONTENT)
            assert await peer.fetch(1) == ChunkRefused()

    async def test_malformed_index_is_a_clear_refusal(self):
        """A non-numeric index gets 400, and the agent continues to serve."""
        async with open_peer() as peer, aiohttp.ClientSession() as session:
            url = f'http://{peer.address}/chunks/{peer.digest}/one'
            async with session.get(url) as answer:
                assert answer.status == 400
            assert isinstance(await peer.fetch(0), ChunkContent)

    async def test_nobody_listens(self):
        """A refused connection is reported as an unavailable peer."""
        async with open_peer() as peer:
            peer.address = f'127.0.0.1:{test_utils.unused_port()}'
            assert isinstance(await peer.fetch(0), PeerUnavailable)
