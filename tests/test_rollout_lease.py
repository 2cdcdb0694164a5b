"""Tests of :mod:`ragwortcourse.weights.rollout_lease`."""

import asyncio
import dataclasses
import random
from unittest import mock

import pytest

from fakes.faults import Faults
from fakes.memory_table import MemoryRows, build_memory_table
from ragwortcourse.clock import SuspensionMeter, read_clock
from ragwortcourse.identifiers import DeploymentName, TargetName
from ragwortcourse.weights.rollout_lease import LEASE_SECONDS, RolloutLease

pytestmark = pytest.mark.looptime
DEEP = b'{"a":%s}' % (b'[' * 100_000 + b']' * 100_000)


def make_lease(rows: MemoryRows, name: str) -> RolloutLease:
    """Make the lease of a target in a deployment with one lease."""
    return RolloutLease(
        table=build_memory_table(rows=rows, faults=Faults()),
        target=TargetName(name),
        deployment=DeploymentName('d'),
        batch=1,
        rng=random.Random(name),
    )


class TestOddRow:
    """Rows of leases that can't be read."""

    @pytest.mark.parametrize('content', [b'odd', DEEP])
    async def test_odd_row_ends_the_agent(self, content, caplog):
        """The row counts as that of another target, and expires."""
        rows = MemoryRows()
        holder = make_lease(rows, 'a')
        await holder.acquire()
        (key,) = rows.rows
        rows.rows[key] = dataclasses.replace(rows.rows[key], content=content)
        await holder.release()
        assert rows.rows[key].content == content
        lease = make_lease(rows, 'b')
        began = read_clock()
        async with asyncio.timeout(LEASE_SECONDS * 2):
            await lease.acquire()
        assert read_clock() - began > LEASE_SECONDS
        assert 'unreadable row of a lease' in caplog.text


class TestSuspendedHost:
    """Hosts that are suspended while they hold a lease."""

    async def test_changes_nothing_when_it_wakes(self):
        """A lease that others may have taken meanwhile is no longer held."""
        lease = make_lease(MemoryRows(), 'a')
        await lease.acquire()
        assert lease.is_held()
        with mock.patch.object(
            SuspensionMeter, 'read', return_value=LEASE_SECONDS
        ):
            assert not lease.is_held()
