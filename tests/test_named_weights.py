"""Tests of :mod:`ragwortcourse.forwarding.named_weights`."""

import pytest

from ragwortcourse.forwarding.named_weights import (
    AnnouncedVersion,
    list_unexpired,
)

NAMED = [
    AnnouncedVersion(version=2, seen_at=0),
    AnnouncedVersion(version=3, seen_at=4),
]


class TestListRunning:
    """Versions that other daemons need to expire older ones."""

    @pytest.mark.parametrize(
        ('now', 'expected'), [(4, [2, 3]), (8, [2, 3]), (9, [2, 3]), (13, [3])]
    )
    def test_expired(self, now, expected):
        """The list begins with the newest version that expired the others."""
        running = list_unexpired(NAMED, now=now, bound=8)
        assert [each.version for each in running] == expected

    def test_none_named(self):
        """The list is empty without versions."""
        assert not list_unexpired([], now=0, bound=8)
