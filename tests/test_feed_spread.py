"""Tests of when many daemons read whole tables."""

import asyncio
import collections
import contextlib
import random

import pytest

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.relay_rows import RelayRegistry
from ragwortcourse.platform.store_position import UNKNOWN_ERA
from ragwortcourse.platform.store_row import HistoryGone, StoreRows
from ragwortcourse.platform.target_reader import build_target_handler

pytestmark = pytest.mark.looptime
DAEMONS = 350
GONE_AT = 10.0
SPREAD_SECONDS = 1.0
# Of 2,000 reads a second that all daemons share.
READS_PER_100_MS = 200


def count_most(times: list[float]) -> int:
    """Count the most reads in a tenth of a second, in tenths of the clock."""
    return max(collections.Counter(int(at * 10) for at in times).values())


class ForgetfulStore:
    """A store that loses its history once.

    :cvar newest_era: it states none.

    :ivar reads: times of the reads of whole tables.
    """

    newest_era = UNKNOWN_ERA

    def __init__(self) -> None:
        self.reads: list[float] = []

    async def read_table(self, table):
        """Record the time and return no rows."""
        self.reads.append(read_clock())
        return StoreRows(rows=(), revision=1)

    async def await_changes(self, table, after, *, wait, known_at):
        """Answer as one that has no rows, and at one time no history."""
        left = GONE_AT - read_clock()
        await asyncio.sleep(min(left, wait) if left > 0 else wait)
        is_gone = 0 < left <= wait
        return HistoryGone() if is_gone else StoreRows(rows=(), revision=1)


async def test_lost_history():
    """Reads after a loss of history are spread over all daemons."""
    store = ForgetfulStore()
    with contextlib.ExitStack() as stack:
        for number in range(DAEMONS):
            feed = TableFeed(
                store=store,
                table='t',
                wait=4,
                handler=build_target_handler(
                    TargetList(state=FleetState()), {}
                ),
                rng=random.Random(number),
                spread=SPREAD_SECONDS,
            )
            task = asyncio.ensure_future(feed.follow())
            stack.callback(task.cancel)
        await asyncio.sleep(GONE_AT + SPREAD_SECONDS + 1)
    reads = [at - GONE_AT for at in store.reads if at >= GONE_AT]
    assert len(reads) == DAEMONS
    assert max(reads) <= SPREAD_SECONDS + 0.01
    assert count_most(reads) <= READS_PER_100_MS


async def test_registrations():
    """Daemons that start together do not read registrations together."""
    store = ForgetfulStore()
    with contextlib.ExitStack() as stack:
        for number in range(DAEMONS):
            relays = RelayRegistry(store=store, rng=random.Random(number))
            task = asyncio.ensure_future(relays.follow(store))
            stack.callback(task.cancel)
        await asyncio.sleep(60)
    assert count_most([at for at in store.reads if at > 1]) <= READS_PER_100_MS
