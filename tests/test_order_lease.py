"""Tests of :mod:`ragwortcourse.weights.order_lease`."""

import asyncio
import dataclasses
import random
from unittest import mock

import pytest

from fakes.faults import Fault, Faults
from fakes.memory_table import MemoryRows, build_memory_table
from ragwortcourse.clock import SuspensionMeter, read_clock
from ragwortcourse.identifiers import TargetName
from ragwortcourse.storage.table import CommitUnknown, ConditionalWrite
from ragwortcourse.weights.order_lease import (
    LATE_ORDER_SECONDS,
    LEASE_SECONDS,
    LONGEST_ORDER_SECONDS,
    LeaseHeld,
    LeaseRefused,
    OrderLease,
)

pytestmark = pytest.mark.looptime
ODD = [
    b'odd',
    b'{"a":%s}' % (b'[' * 100_000 + b']' * 100_000),
    b'{"fencing":%s,"holder":"a","released":true}' % (b'9' * 400),
    b'{"fencing":-1,"holder":"a","released":true}',
]


def make_lease(
    rows: MemoryRows, seed: int, *, checks: bool, faults: Faults | None = None
) -> OrderLease:
    """Make the lease of one agent process."""
    return OrderLease(
        table=build_memory_table(rows=rows, faults=faults or Faults()),
        target=TargetName('target'),
        checks_fencing=checks,
        rng=random.Random(seed),
    )


class TestOrderLease:
    """Holders of the order lease."""

    async def test_frozen_holder_orders_nothing_when_it_wakes(self):
        """A holder that was paused beyond its lease no longer holds it."""
        lease = make_lease(MemoryRows(), 1, checks=False)
        assert isinstance(await lease.acquire(), LeaseHeld)
        await asyncio.sleep(LEASE_SECONDS)
        assert not lease.is_held()

    async def test_holder_of_a_suspended_host_orders_nothing(self):
        """A host that was suspended beyond the lease wakes without it."""
        lease = make_lease(MemoryRows(), 1, checks=False)
        await lease.acquire()
        with mock.patch.object(
            SuspensionMeter, 'read', return_value=LEASE_SECONDS
        ):
            assert not lease.is_held()

    @pytest.mark.parametrize('released', [True, False])
    @pytest.mark.parametrize('checks', [True, False])
    async def test_next_holder_waits_out_the_former_one(
        self, checks: bool, released: bool
    ):
        """An engine that ignores fencing numbers never has two holders.

        Without a release, the next holder waits until the former holder's
        lease and last order have expired.
        """
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
            assert waited >= (
                LEASE_SECONDS + LONGEST_ORDER_SECONDS + LATE_ORDER_SECONDS
            )

    async def test_superseded_holder_gives_up_for_good(self):
        """Of two agents for one target only the later one keeps the lease."""
        rows = MemoryRows()
        former = make_lease(rows, 1, checks=True)
        await former.acquire()
        await make_lease(rows, 2, checks=True).acquire()
        again = await former.acquire()
        assert again == LeaseRefused(detail='superseded', superseded=True)
        assert not former.is_held()

    async def test_table_restored_before_the_claim(self):
        """A holder goes on when the table lost its claims, with new numbers.

        The row is then that of an earlier agent. An engine that checks
        numbers refuses those that it has seen.
        """
        rows = MemoryRows()
        await make_lease(rows, 1, checks=True).acquire()
        copy = dict(rows.rows)
        holder = make_lease(rows, 2, checks=True)
        await holder.acquire()
        before = await holder.acquire()
        rows.rows = copy
        after = await holder.acquire()
        assert isinstance(after, LeaseHeld)
        assert after.fencing > before.fencing

    async def test_row_lost_in_a_restore(self):
        """A holder whose row is gone does not begin its numbers anew."""
        rows = MemoryRows()
        holder = make_lease(rows, 1, checks=True)
        await holder.acquire()
        before = await holder.acquire()
        rows.rows.clear()
        after = await holder.acquire()
        assert after.fencing > before.fencing

    async def test_claimed_by_another_after_a_restore(self):
        """Of two agents with the same number the later claim counts."""
        rows = MemoryRows()
        former = make_lease(rows, 1, checks=True)
        await former.acquire()
        rows.rows.clear()
        await make_lease(rows, 2, checks=True).acquire()
        again = await former.acquire()
        assert again == LeaseRefused(detail='superseded', superseded=True)

    async def test_lost_answer_of_the_claim_is_settled(self):
        """A claim with a lost answer is confirmed by reading the row."""
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

    @pytest.mark.parametrize('content', ODD)
    async def test_odd_row_ends_the_agent(self, content, caplog):
        """No lease is given over a row that can't be read.

        Its holder may still send orders, and its number is not known.
        """
        rows = MemoryRows()
        holder = make_lease(rows, 1, checks=True)
        await holder.acquire()
        (key,) = rows.rows
        rows.rows[key] = dataclasses.replace(rows.rows[key], content=content)
        lease = make_lease(rows, 2, checks=True)
        assert isinstance(await lease.acquire(), LeaseRefused)
        assert not lease.superseded
        assert 'unreadable row of a lease' in caplog.text
        await holder.release()
        assert rows.rows[key].content == content

    async def test_table_out_of_reach_gives_no_lease(self):
        """The lease is refused while the table service is down."""
        faults = Faults()
        faults.set(Fault.DOWN)
        lease = make_lease(MemoryRows(), 1, checks=True, faults=faults)
        assert isinstance(await lease.acquire(), LeaseRefused)
