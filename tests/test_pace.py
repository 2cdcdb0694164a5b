"""Tests of :mod:`ragwortcourse.weights.pace` and of paced sending."""

import pytest

from fakes.live_landing import measure_live_answers
from ragwortcourse.weights.pace import cut_pieces

pytestmark = pytest.mark.looptime
# Limits on the 95th percentile of live answers: time to the first token, and
# time between tokens.
FIRST_SECONDS = 0.65
GAP_SECONDS = 0.048


class TestLiveBesideWeights:
    """Latency of live answers on links that also carry weights."""

    async def test_keep_their_latency(self):
        """Tokens arrive within the limits while a version is downloaded."""
        beside = await measure_live_answers(paced=True)
        assert beside.first_seconds <= FIRST_SECONDS
        assert beside.gap_seconds <= GAP_SECONDS

    async def test_would_not_without_pacing(self):
        """Without pacing, the same links exceed both limits."""
        beside = await measure_live_answers(paced=False)
        assert beside.first_seconds > FIRST_SECONDS
        assert beside.gap_seconds > GAP_SECONDS


class TestPieces:
    """Division of a chunk into pieces."""

    @pytest.mark.parametrize('rate', [0, 1, 12_500_000, 125_000_000])
    @pytest.mark.parametrize('size', [0, 1, 1_048_576])
    def test_make_the_chunk(self, rate: int, size: int):
        """The pieces join to the chunk at any rate."""
        content = bytes(size)
        assert b''.join(cut_pieces(content, rate)) == content
