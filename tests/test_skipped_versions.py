"""Versions that a daemon never read, as the next one replaced their row."""

import asyncio
import math
import random

import pytest

from fakes.fleet_parts import (
    ENGINE_RULES,
    FLEET,
    MODEL,
    make_forwarder,
    make_state,
    make_target,
    make_version_row,
)
from fakes.virtual_clocks import follow_loop
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.fleet_updates import note_history
from ragwortcourse.forwarding.named_weights import (
    AnnouncedVersion,
    VersionHistory,
)
from ragwortcourse.forwarding.version_bounds import read_required_version
from ragwortcourse.platform.feed import TableFeed, TableHandler
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.platform.store_position import UNKNOWN_ERA
from ragwortcourse.platform.store_row import StoreRows

pytestmark = pytest.mark.looptime
SILENT_SECONDS = 4.0
BOUND_SECONDS = FLEET.version_ms / 1000


class RelayedRows:
    """Rows of a daemon near by that answers again after some seconds.

    :cvar newest_era: it states none.
    :param version: version of the weights in the rows then; the row is young.
    """

    newest_era = UNKNOWN_ERA

    def __init__(self, version: int) -> None:
        self._version = version
        self._calls = 0

    async def read_table(self, table):
        """Return the rows before any version was announced."""
        return StoreRows(rows=(), revision=1)

    async def await_changes(self, table, after, *, wait, known_at):
        """Return the newest version once, and nothing later."""
        self._calls += 1
        await asyncio.sleep(SILENT_SECONDS if self._calls == 1 else wait)
        rows = () if self._calls > 1 else (make_version_row(self._version),)
        return StoreRows(rows=rows, revision=3, rows_age=0.3)


async def read_required(version: int, after: float) -> int | None:
    """Read what a daemon requires, seconds after its rows were complete.

    :param version: newest version of a row that it reads after a gap.
    """
    forwarder = make_forwarder(make_state(make_target()), None)
    feed = TableFeed(
        store=RelayedRows(version),
        table='op',
        wait=0.7,
        handler=build_operator_handler(forwarder.state, FLEET),
        rng=random.Random(1),
    )
    task = asyncio.ensure_future(feed.follow())
    with follow_loop():
        await asyncio.sleep(after)
        required = read_required_version(forwarder, ENGINE_RULES)
    task.cancel()
    return required


class TestSkippedVersion:
    """A version that was announced and replaced while rows were not read."""

    async def test_requests_on_versions_before_it_expire(self):
        """It may have been announced as soon as the rows were complete."""
        assert await read_required(3, BOUND_SECONDS) == 2

    async def test_nothing_was_skipped(self):
        """The version after the one of the start has none to miss before."""
        assert await read_required(2, BOUND_SECONDS) is None

    async def test_newest_version(self):
        """The bound of the version that was read counts from its own time."""
        read_at = SILENT_SECONDS + BOUND_SECONDS
        assert await read_required(3, read_at - 1.5) == 2
        assert await read_required(3, read_at - 0.5) == 3


def read_handler() -> tuple[FleetState, TableHandler]:
    """Build the handler of a daemon that has read version 1."""
    state = FleetState()
    reader = build_operator_handler(state, FLEET)
    reader.replace((make_version_row(1),), math.inf)
    return state, reader


def find_due_age(state: FleetState, version: int) -> float:
    """Find how long ago requests on versions before one began to expire."""
    ages = (
        read_clock_with_suspend() - each.seen_at
        for each in state.weights[MODEL]
        if each.version >= version
    )
    return max(ages, default=0)


class TestSafeAssumption:
    """What covers versions that a daemon does not know of is not given up."""

    async def test_old_row_after_a_longer_gap(self):
        """A row with an assumed time may have replaced one much older."""
        state, reader = read_handler()
        await asyncio.sleep(SILENT_SECONDS)
        reader.change((make_version_row(3),), 1.8, SILENT_SECONDS)
        assert find_due_age(state, 2) >= SILENT_SECONDS

    async def test_told_by_a_restarted_daemon_before_it_is_read(self):
        """Version 3 is known, but version 2 may have been missed."""
        state, reader = read_handler()
        await asyncio.sleep(SILENT_SECONDS)
        told = AnnouncedVersion(
            version=3, seen_at=read_clock_with_suspend() - 5, observed=False
        )
        note_history(state, VersionHistory(versions={MODEL: [told]}))
        reader.change((make_version_row(3),), 0.3, SILENT_SECONDS)
        assert find_due_age(state, 2) >= SILENT_SECONDS

    async def test_row_written_again_after_a_restart(self):
        """The new time of version 3 tells nothing about version 2."""
        state = FleetState()
        reader = build_operator_handler(state, FLEET)
        reader.replace((make_version_row(3),), math.inf)
        await asyncio.sleep(1)
        assumed = find_due_age(state, 2)
        reader.change((make_version_row(3),), 0.1, 0.7)
        assert find_due_age(state, 2) >= assumed - 0.01
