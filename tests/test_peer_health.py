"""Tests of :mod:`ragwortcourse.weights.peer_health`."""

import asyncio

import pytest

from ragwortcourse.identifiers import DaemonId
from ragwortcourse.weights.peer_health import PeerHealth

pytestmark = pytest.mark.looptime
PEER = DaemonId('peer')


class TestSilence:
    """What one request learns holds for the others."""

    async def test_one_silence_ends_all_waits(self):
        """Requests under way to a silent peer turn elsewhere at once."""
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
        """Sixteen requests that end together do not shut a peer out."""
        health = PeerHealth()
        for _ in range(16):
            health.note_silence(PEER)
        await asyncio.sleep(6)
        assert not health.is_passed_by(PEER)


class TestNews:
    """What other hosts say of a peer."""

    async def test_news_of_a_peer_not_heard_is_taken(self):
        """A peer that others find silent is passed by."""
        health = PeerHealth()
        health.note_answer(PEER)
        await asyncio.sleep(3)
        health.merge_silence_reports([PEER])
        assert health.list_absent() == {PEER}

    async def test_own_news_beats_that_of_others(self):
        """A peer heard from just now is asked on."""
        health = PeerHealth()
        health.note_answer(PEER)
        await asyncio.sleep(1)
        health.merge_silence_reports([PEER])
        assert not health.list_absent()

    async def test_answer_ends_the_absence(self):
        """A peer that answers again is a source again."""
        health = PeerHealth()
        health.note_silence(PEER)
        health.note_answer(PEER)
        assert not health.list_absent()
        assert not health.list_recently_silent()
