"""Tests of :mod:`ragwortcourse.weights.routes`."""

import aiohttp
from aiohttp import test_utils, web

from fakes.landings import LandingFleet
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.weights.http_peers import build_http_peers
from ragwortcourse.weights.peer_port import (
    MANIFEST_INDEX,
    ChunkContent,
    ChunkRequest,
)
from ragwortcourse.weights.routes import build_weight_routes

SILENT = tuple(map(DaemonId, ('host-001', 'host-002')))


class TestSilentPeers:
    """Silent peers in HTTP headers."""

    async def test_request_and_answer_name_them(self):
        """Request and answer exchange the silent peers of both sides."""
        fleet = LandingFleet(hosts=4, regions_by_domain={'a': 'r'})
        digest = fleet.publish('v1', b'content')
        landing = fleet.hosts['host-000'].agent_weights
        landing.open_transfer(digest).keep_manifest(b'manifest')
        landing.exchange.health.note_silence(SILENT[1])
        app = web.Application()
        app.add_routes(build_weight_routes(agent_weights=landing))
        request = ChunkRequest(
            manifest=digest,
            index=MANIFEST_INDEX,
            sender=DaemonId('host-003'),
            silent=SILENT[:1],
        )
        async with (
            test_utils.TestServer(app) as server,
            aiohttp.ClientSession() as session,
        ):
            port = build_http_peers(session=session)
            answer = await port.fetch(f'{server.host}:{server.port}', request)
        assert landing.exchange.health.list_ejected() == set(SILENT)
        assert answer == ChunkContent(
            content=b'manifest', silent=(SILENT[1], SILENT[0])
        )
