"""Tests of :mod:`ragwortcourse.weights.peer_reach`."""

import asyncio

import pytest
from aiohttp import ClientSession

from fakes.fleet_parts import MODEL
from ragwortcourse.weights.chunk_routes import fetch_chunk
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.peer_reach import SILENT_SECONDS, PeerReach


class TestPeerReach:
    """Order in which daemons are asked."""

    @pytest.mark.looptime
    async def test_silent_last(self):
        """A silent daemon is asked last for ``SILENT_SECONDS``."""
        reach = PeerReach()
        reach.note_silent('a')
        assert reach.order(['a', 'b']) == ['b', 'a']
        await asyncio.sleep(SILENT_SECONDS + 0.1)
        assert reach.order(['a', 'b']) == ['a', 'b']

    @pytest.mark.looptime
    async def test_answers_again(self):
        """A daemon that answers is no longer silent."""
        reach = PeerReach()
        reach.note_silent('a')
        reach.note_answered('a')
        assert not reach.is_silent('a')

    @pytest.mark.looptime
    async def test_order_kept(self):
        """The order of the other daemons does not change."""
        reach = PeerReach()
        reach.note_silent('b')
        assert reach.order(['c', 'b', 'a']) == ['c', 'a', 'b']

    async def test_refused_connection(self):
        """A refused connection in a fetch marks the daemon as silent."""
        reach = PeerReach()
        manifest = FleetManifest(model=MODEL, version=1, digests=('',))
        async with ClientSession() as session:
            content = await fetch_chunk(
                session=session,
                reach=reach,
                address='127.0.0.1:1',
                manifest=manifest,
                index=0,
            )
        assert content is None
        assert reach.order(['127.0.0.1:1', 'x']) == ['x', '127.0.0.1:1']
