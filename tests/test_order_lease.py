"""Tests of :mod:`ragwortcourse.weights.order_lease`."""

import asyncio
import dataclasses
import random

import pytest

from fakes.faults import Fault, Faults
from fakes.memory_table import MemoryRows, build_memory_table
from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import TargetName
from ragwortcourse.storage.table import CommitUnknown, ConditionalWrite
from ragwortcourse.weights.order_lease import (
    LEASE_SECONDS,
    LONGEST_ORDER_SECONDS,
    LeaseHeld,
    LeaseRefused,
    OrderLease,
)

pytestmark = pytest.mark.looptime


def make_lease(
    rows: MemoryRows, seed: int, *, checks: bool, faults: Faults | None = None
) -> OrderLease:
    """The lease as one incarnation of the agent sees it."""
    return OrderLease(
        table=build_memory_table(rows=rows, faults=faults or Faults()),
        target=TargetName('target'),
        checks_fencing=checks,
        rng=random.Random(seed),
    )


class TestOrderLease:
    """Who may order an engine about."""

    async def test_frozen_holder_orders_nothing_when_it_wakes(self):
        """A holder that was paused past its lease sends no order."""
        lease = make_lease(MemoryRows(), 1, checks=False)
        assert isinstance(await lease.acquire(), LeaseHeld)
        await asyncio.sleep(LEASE_SECONDS)
        assert not lease.is_held()

    @pytest.mark.parametrize('released', [True, False])
    @pytest.mark.parametrize('checks', [True, False])
    async def test_next_holder_waits_out_the_former_one(
        self, checks: bool, released: bool
    ):
        """An engine that ignores numbers never has two holders at once."""
        rows = MemoryRows()
        former = make_lease(rows, 1, checks=checks)
        first = await former.acquire()
        if released:
            await former.release()
        began = read_clock()
        second = await make_lease(rows, 2, checks=checks).acquire()
        waited = read_clock() - began
        assert isinstance(first, LeaseHeld)
        assert isinstance(second, LeaseHeld)
        assert second.fencing > first.fencing
        if not (checks or released):
            assert waited >= LEASE_SECONDS + LONGEST_ORDER_SECONDS

    async def test_superseded_holder_gives_up_for_good(self):
        """Of two agents for one target only the later one goes on."""
        rows = MemoryRows()
        former = make_lease(rows, 1, checks=True)
        await former.acquire()
        await make_lease(rows, 2, checks=True).acquire()
        again = await former.acquire()
        assert again == LeaseRefused(detail='superseded', superseded=True)
        assert not former.is_held()

    async def test_lost_answer_of_the_claim_is_settled(self):
        """A claim whose answer was lost is found by reading it back."""
        table = build_memory_table(rows=MemoryRows(), faults=Faults())

        async def lose(writes: tuple[ConditionalWrite, ...]) -> CommitUnknown:
            await table.commit(writes)
            return CommitUnknown(detail='the answer was lost')

        lease = OrderLease(
            table=dataclasses.replace(table, commit=lose),
            target=TargetName('target'),
            checks_fencing=True,
            rng=random.Random(1),
        )
        assert isinstance(await lease.acquire(), LeaseHeld)

    async def test_table_out_of_reach_gives_no_lease(self):
        """Without the table nobody begins to give orders."""
        faults = Faults()
        faults.set(Fault.DOWN)
        lease = make_lease(MemoryRows(), 1, checks=True, faults=faults)
        assert isinstance(await lease.acquire(), LeaseRefused)
