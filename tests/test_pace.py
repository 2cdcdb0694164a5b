"""Tests of :mod:`ragwortcourse.weights.pace` and of sending in pieces."""

import pytest

from fakes.live_landing import run_beside
from ragwortcourse.weights.pace import cut_pieces

pytestmark = pytest.mark.looptime
# What 95 of 100 live answers may take.
FIRST_SECONDS = 0.65
GAP_SECONDS = 0.048


class TestLiveBesideWeights:
    """Live answers on links that also carry weights."""

    async def test_keep_their_latency(self):
        """First token and tokens come in time while a version lands."""
        beside = await run_beside(paced=True)
        assert beside.first_seconds <= FIRST_SECONDS
        assert beside.gap_seconds <= GAP_SECONDS

    async def test_would_not_without_pacing(self):
        """On the same links neither is kept by weights sent at once."""
        beside = await run_beside(paced=False)
        assert beside.first_seconds > FIRST_SECONDS
        assert beside.gap_seconds > GAP_SECONDS


class TestPieces:
    """A chunk cut for its way."""

    @pytest.mark.parametrize('rate', [0, 1, 12_500_000, 125_000_000])
    @pytest.mark.parametrize('size', [0, 1, 1_048_576])
    def test_make_the_chunk(self, rate: int, size: int):
        """Pieces of any rate make just the chunk."""
        content = bytes(size)
        assert b''.join(cut_pieces(content, rate)) == content
