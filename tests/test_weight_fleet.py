"""Versions that a whole fleet downloads, in virtual time."""

import dataclasses

import pytest

from fakes.weight_fleet import CASES, WeightFleet, play_case

# One copy, the manifests, and single chunks that two roots draw.
MOST_COPIES = 1.15


def measure_copies(fleet: WeightFleet, version: int) -> float:
    """Return how many copies of a version the origin sent."""
    size = fleet.case.chunks * fleet.case.chunk_bytes
    return fleet.links.sent[version] / size


class TestOriginLink:
    """Use of the origin's link by a fleet."""

    @pytest.mark.parametrize('case', ['well', 'away-one', 'narrow', 'wide'])
    def test_one_copy(self, case):
        """The origin sends each chunk once, also when it comes back.

        It sent 2.0 to 3.0 copies. After an outage, all hosts asked it for the
        same chunks, and no version was ever complete.
        """
        fleet = play_case(CASES[case])
        newest = 1 + len(fleet.case.namings)
        assert measure_copies(fleet, newest) <= MOST_COPIES
        assert fleet.held_at[newest][1]

    def test_many_loaders(self):
        """The number of loaders does not change what the origin sends."""
        case = dataclasses.replace(
            CASES['away-one'], loaders=120, relays=41, seconds=20
        )
        fleet = play_case(case)
        assert measure_copies(fleet, 2) <= MOST_COPIES
        assert fleet.held_at[2][1]


class TestSeveralVersions:
    """Versions that are named in quick succession."""

    def test_origin_back_after_two_namings(self):
        """All hosts download the newest version when the origin is back.

        Finishing the first of two made the second 4 to 6 s late.
        """
        fleet = play_case(CASES['away'])
        back_at = fleet.case.away[1]
        assert measure_copies(fleet, 2) < 1
        assert measure_copies(fleet, 3) <= MOST_COPIES
        assert fleet.held_at[3][1] - back_at <= fleet.case.floor_seconds

    def test_three_in_a_row(self):
        """Engines switch before the version that they hold expires.

        They waited for their turn by the bound of the downloaded version,
        which was not the first that was named after the held one.
        """
        fleet = play_case(CASES['three'])
        assert fleet.invalid_share < 0.01


class TestAddedEngines:
    """Engines that are added while others serve."""

    @pytest.mark.parametrize('case', ['corrupting', 'added'])
    def test_version_in_force(self, case):
        """An added engine gets the version in force from those that serve it.

        Its manifest was asked of an origin that corrupted its answers, and an
        almost complete version was left for the next one.
        """
        fleet = play_case(CASES[case])
        before = [at for at in fleet.case.added if at < fleet.case.namings[0]]
        added = fleet.loaders[fleet.case.loaders :][: len(before)]
        orders = [loader.engine.orders for loader in added]
        assert [each[0][0] for each in orders if each] == [1] * len(before)
        assert measure_copies(fleet, 1) < 0.1
