"""Tests of :mod:`ragwortcourse.weights.planning.loader_demand`."""

import asyncio

import pytest

from fakes.fleet_parts import MODEL, make_state, make_target
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.weights.planning.loader_demand import (
    DEMAND_SECONDS,
    LoaderDemand,
)

pytestmark = pytest.mark.looptime


@pytest.fixture
def demand():
    """Provide the demand of a fleet that holds version 1; 2 and 3 are named."""
    state = make_state(make_target())
    state.weights[MODEL] = tuple(
        AnnouncedVersion(version=version, seen_at=version) for version in (2, 3)
    )
    return LoaderDemand(state=state)


class TestLoaderDemand:
    """Versions that an entry daemon prefetches."""

    async def test_named_version(self, demand):
        """Without demand, only the newest version takes the origin's link."""
        assert demand.is_wanted(MODEL, 3)
        assert not demand.is_wanted(MODEL, 2)

    async def test_loaders_finish_an_older_one(self, demand):
        """The newest version waits while loaders download an older one."""
        demand.note(MODEL, 2, is_relay=False)
        assert demand.is_wanted(MODEL, 2)
        assert not demand.is_wanted(MODEL, 3)

    async def test_loaders_change_over(self, demand):
        """A version that loaders left is not prefetched beside the newest."""
        demand.note(MODEL, 2, is_relay=False)
        demand.note(MODEL, 3, is_relay=False)
        assert not demand.is_wanted(MODEL, 2)
        assert demand.is_wanted(MODEL, 3)

    async def test_demand_ends(self, demand):
        """The newest version is prefetched once nobody asks for another."""
        demand.note(MODEL, 2, is_relay=False)
        await asyncio.sleep(DEMAND_SECONDS * 1.1)
        assert demand.is_wanted(MODEL, 3)

    async def test_held_version(self, demand):
        """A version that engines serve is no demand on the origin's link."""
        demand.note(MODEL, 1, is_relay=False)
        assert demand.is_wanted(MODEL, 1)
        assert demand.is_wanted(MODEL, 3)

    async def test_version_that_nobody_asks_for(self, demand):
        """Chunks of an abandoned version that wait for the origin are left.

        They were drawn before those of the newest version when the origin
        came back.
        """
        demand.note(MODEL, 2, is_relay=True)
        assert demand.is_current(MODEL, 2)
        await asyncio.sleep(DEMAND_SECONDS * 1.1)
        assert not demand.is_current(MODEL, 2)
        assert demand.is_current(MODEL, 3)
