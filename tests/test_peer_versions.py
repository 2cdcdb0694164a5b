"""Tests of :mod:`ragwortcourse.forwarding.freshness.peer_versions`."""

from ragwortcourse.forwarding.freshness.peer_versions import PeerVersions
from ragwortcourse.forwarding.peer_counts import FRESH_SECONDS


class TestPeerVersions:
    """Time for which others are known to have a newer desired state."""

    def test_storm_of_versions(self):
        """Each version counts from its own first sighting.

        Without that, a daemon that follows a storm of versions a little late
        would refuse requests although it is never far behind.
        """
        versions = PeerVersions()
        for number in range(20):
            versions.note(number + 1, own=number, now=number * 0.3)
            behind = versions.read_behind_seconds(own=number, now=number * 0.3)
            assert behind < 0.3

    def test_behind(self):
        """The first sighting of the oldest missing version counts."""
        versions = PeerVersions()
        versions.note(8, own=7, now=0)
        versions.note(9, own=7, now=1)
        versions.note(8, own=7, now=1)
        assert versions.read_behind_seconds(own=7, now=2) == 2
        assert versions.read_behind_seconds(own=8, now=2) == 1
        assert versions.read_behind_seconds(own=9, now=2) == 0

    def test_nobody_repeats_it(self):
        """A version that nobody has any more does not stop the daemon."""
        versions = PeerVersions()
        versions.note(8, own=7, now=0)
        later = FRESH_SECONDS + 0.1
        assert versions.read_behind_seconds(own=7, now=later) == 0
