"""Tests of :mod:`ragwortcourse.weights.peer_health`."""

import asyncio

import pytest

from ragwortcourse.identifiers import DaemonId
from ragwortcourse.weights.peer_health import PeerHealth

pytestmark = pytest.mark.looptime
PEER = DaemonId('peer')


class TestSilence:
    """Silence of a peer, which all requests share."""

    async def test_one_silence_ends_all_waits(self):
        """All pending requests to a peer end once it is found silent."""
        health = PeerHealth()

        async def wait() -> None:
            async with health.limit_wait(PEER, 100):
                await asyncio.sleep(50)

        waiting = asyncio.create_task(wait())
        await asyncio.sleep(1)
        health.note_silence(PEER)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(waiting, 1)

    async def test_silence_met_at_once_counts_once(self):
        """Sixteen simultaneous time-outs do not lengthen the ejection."""
        health = PeerHealth()
        for _ in range(16):
            health.note_silence(PEER)
        await asyncio.sleep(6)
        assert not health.is_ejected(PEER)


class TestNews:
    """Reports of other hosts about a peer."""

    async def test_news_of_a_peer_not_heard_is_taken(self):
        """A peer that others report as silent is ejected."""
        health = PeerHealth()
        health.note_answer(PEER)
        await asyncio.sleep(3)
        health.merge_silence_reports([PEER])
        assert health.list_ejected() == {PEER}

    async def test_own_news_beats_that_of_others(self):
        """A report does not eject a peer that answered this host lately."""
        health = PeerHealth()
        health.note_answer(PEER)
        await asyncio.sleep(1)
        health.merge_silence_reports([PEER])
        assert not health.list_ejected()

    async def test_answer_ends_the_absence(self):
        """An answer ends the ejection of a silent peer."""
        health = PeerHealth()
        health.note_silence(PEER)
        health.note_answer(PEER)
        assert not health.list_ejected()
        assert not health.list_recently_silent()
