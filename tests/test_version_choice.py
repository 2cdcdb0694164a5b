"""Tests of :mod:`ragwortcourse.weights.version_choice`."""

import math

import pytest

from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.weights.version_choice import choose_version

BOUND = 8.0
DRAWING = 4.4


def name(version: int, seen_at: float) -> AnnouncedVersion:
    """Make a named version."""
    return AnnouncedVersion(version=version, seen_at=seen_at)


def choose(
    *named: AnnouncedVersion,
    held: int = 1,
    now: float = 0,
    drawn: dict[int, float] | None = None,
) -> int:
    """Return the version that is chosen.

    :param drawn: downloaded share of each version, zero by default.
    """
    parts = drawn or {}
    return choose_version(
        named,
        held=held,
        now=now,
        estimate_seconds=lambda version: DRAWING * (1 - parts.get(version, 0)),
        bound=BOUND,
    ).version


class TestChooseVersion:
    """Choice of the version to download next."""

    def test_newest(self):
        """A single named version is chosen."""
        assert choose(name(2, 0)) == 2

    def test_quick_succession(self):
        """An older version is skipped if the newest is ready in time."""
        assert choose(name(2, 0), name(3, 1), now=1) == 3

    def test_older_one_is_due_first(self):
        """An older version is chosen if the newest would be too late."""
        assert choose(name(2, 0), name(3, 4), now=4, drawn={2: 0.9}) == 2

    def test_newest_can_not_be_had(self):
        """An older version is chosen while no source offers the newest.

        Incident: the origin went down half a second after a version was
        named. All loaders waited for that version although other hosts held
        an older one, and the engines served no requests once the version
        that they held had expired.
        """
        named = (name(2, 0), name(3, 2))
        chosen = choose_version(
            named,
            held=1,
            now=4,
            estimate_seconds=lambda version: (
                math.inf if version == 3 else DRAWING
            ),
            bound=BOUND,
        )
        assert chosen.version == 2

    def test_older_one_comes_too_late(self):
        """A version that would be ready after the newest's bound is skipped.

        Seen on kalliga-grown scale-1: nearly all of the newest version was
        downloaded and the origin was back, but all loaders downloaded an
        older version that had expired.
        """
        named = (name(2, 0), name(3, 2))
        parts = {2: 0.2, 3: 0.7}
        chosen = choose_version(
            named,
            held=1,
            now=9,
            estimate_seconds=lambda version: (
                math.inf if version == 3 else DRAWING * (1 - parts[version])
            ),
            bound=BOUND,
        )
        assert chosen.version == 3

    def test_both_in_time(self):
        """An older version is chosen if both can be ready in time.

        Ten engines switch one after the other once the last chunk has
        arrived. If the origin failed before then, the newest version alone
        would leave them without valid weights.
        """
        named = (name(2, 0), name(3, 2))
        assert choose(*named, now=2, drawn={2: 0.4}) == 2

    def test_neither_can_be_had(self):
        """The newest version is chosen if no source offers any version."""
        named = (name(2, 0), name(3, 2))
        chosen = choose_version(
            named,
            held=1,
            now=4,
            estimate_seconds=lambda version: math.inf,
            bound=BOUND,
        )
        assert chosen.version == 3

    def test_held(self):
        """A held version is not chosen again."""
        assert choose(name(2, 0), name(3, 4), now=4, held=2) == 3

    def test_oldest_due_first(self):
        """The oldest of several versions that are due is chosen first."""
        drawn = {2: 0.9, 3: 0.5}
        named = (name(2, 0), name(3, 3), name(4, 6))
        assert choose(*named, now=6, drawn=drawn) == 2

    def test_overdue_versions(self):
        """The newest is chosen if all versions are overdue and not begun."""
        assert choose(name(2, 0), name(3, 2), now=9) == 3

    @pytest.mark.parametrize('gap', [0.5, 1, 2, 3, 4, 5, 6, 7])
    def test_no_request_without_weights(self, gap):
        """An engine holds weights that may be served, whatever the gap.

        A version is available once its download is done, and may be served
        until the bound of its successor.
        """
        versions = (name(2, 0), name(3, gap))
        drawn = {2: min(gap / DRAWING, 1)}
        first = choose(*versions, now=gap, drawn=drawn)
        done_at = {}
        if first == 2:
            done_at[2] = DRAWING
            done_at[3] = max(DRAWING, gap) + DRAWING
        else:
            done_at[3] = gap + DRAWING
        serves_from = min(done_at.values())
        assert serves_from < BOUND
        assert done_at[3] < gap + BOUND or 2 in done_at
