"""Tests of :mod:`ragwortcourse.weights.transfer_counts`."""

import pytest

from ragwortcourse.weights.transfer_counts import TransferCounts


@pytest.mark.looptime
class TestReserve:
    """Link budget kept for a chunk that arrives damaged."""

    async def test_damage_after_the_last_send_stays_within_two_copies(self):
        """A chunk downloaded twice fits a host that sent all it may send."""
        counts = TransferCounts()
        counts.note_received('region', 90)
        while counts.may_send(10, 100):
            counts.sent += 10
        counts.note_corrupted(10)
        counts.note_received('region', 10)
        assert counts.verified + counts.wasted + counts.sent <= 200

    async def test_host_that_has_all_sends_the_rest(self):
        """The reserve is spent once nothing more can arrive damaged."""
        counts = TransferCounts()
        counts.note_received('region', 100)
        while counts.may_send(10, 100):
            counts.sent += 10
        assert counts.sent == 100
