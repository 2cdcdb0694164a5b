"""Tests of reads of tables that take several pages, which change meanwhile."""

import asyncio
import contextlib
import random

import msgspec
import pytest

from fakes.conditions import wait_for
from fakes.fleet_parts import FLEET, NEAR_DOMAIN, REGIONS
from fakes.fleet_store import FleetStore
from fakes.store_client import open_store_client
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform import names
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.platform.relay_rows import TABLE as DAEMONS_TABLE
from ragwortcourse.platform.relay_rows import RelayRegistry
from ragwortcourse.platform.store import MAX_READS
from ragwortcourse.platform.store_row import StoreRows, StoreSilent
from ragwortcourse.platform.target_reader import build_target_handler
from tests.test_shared_table import describe_target

KEYS = ('a', 'b', 'c', 'd', 'e')
FIRST, LAST = KEYS[0], KEYS[-1]
READ = '/rows-get'
FEED_SECONDS = 0.2


class Reader:
    """A client of a fake store that sends two rows at a time.

    :ivar changes: called one after the other, each behind a page.
    """

    def __init__(self) -> None:
        self.fake = FleetStore()
        self.fake.page_rows = 2
        self.fake.after_page = self._change
        self.changes = []
        self.stack = contextlib.AsyncExitStack()

    async def open(self) -> None:
        """Start the fake store and open a client of it."""
        self.store = await self.stack.enter_async_context(
            open_store_client(self.fake)
        )

    def write(self, *keys: str, table: str = 't') -> None:
        """Write rows, with the number of the write as content."""
        for key in keys:
            self.fake.put(table, key, self.fake.revision + 1)

    async def read(self) -> dict[str, int]:
        """Read the table; return the number of the write of each row."""
        answer = await self.store.read_table('t')
        assert isinstance(answer, StoreRows)
        return {row.key: int(row.content) for row in answer.rows}

    def list_rows(self) -> dict[str, int]:
        """List what the store holds now."""
        held = {key: self.fake.read('t', key) for key in KEYS}
        return {key: int(value) for key, value in held.items() if value}

    def follow(self, table: str, handler) -> None:
        """Follow a table until the end of the test."""
        feed = TableFeed(
            store=self.store,
            table=table,
            wait=FEED_SECONDS,
            handler=handler,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(feed.follow())
        self.stack.callback(task.cancel)

    def _change(self) -> None:
        if self.changes:
            self.changes.pop(0)()


@pytest.fixture
async def reader():
    """A client of a store whose table takes three pages."""
    opened = Reader()
    async with opened.stack:
        await opened.open()
        opened.write(*KEYS)
        yield opened


class TestChangesBetweenPages:
    """Rows that change after their page was sent."""

    async def test_row_of_an_early_page(self, reader):
        """A change between two pages of a read was lost without end."""
        reader.changes = [lambda: reader.write(FIRST)]
        assert await reader.read() == reader.list_rows()

    async def test_removed_row(self, reader):
        """A row that was removed between two pages was kept without end."""
        reader.changes = [lambda: reader.fake.drop('t', FIRST)]
        assert await reader.read() == reader.list_rows()

    async def test_added_row(self, reader):
        """A row that was added below a sent page was missing without end."""
        reader.fake.drop('t', FIRST)
        reader.changes = [lambda: reader.write(FIRST)]
        assert await reader.read() == reader.list_rows()

    async def test_one_moment(self, reader):
        """Rows of a read were of two moments: a late one without an early."""
        reader.changes = [lambda: reader.write(FIRST, LAST)] * 2
        rows = await reader.read()
        assert rows[FIRST] + 1 == rows[LAST]

    async def test_table_that_always_changes(self, reader):
        """A read ends though each page and each answer finds new changes."""
        reader.fake.after_page = lambda: reader.write(FIRST, LAST)
        async with asyncio.timeout(1):
            rows = await reader.read()
        assert rows == reader.list_rows()

    async def test_other_table(self, reader):
        """A change of another table leaves the rows as they are."""
        reader.changes = [lambda: reader.write(FIRST, table='other')]
        assert await reader.read() == reader.list_rows()

    async def test_calls_for_an_unchanged_table(self, reader):
        """A read without a change takes no call but those for its pages."""
        await reader.read()
        assert reader.fake.calls == [READ] * 3


class TestTroubleBetweenPages:
    """A history that is lost during a read, and a restored store."""

    async def test_lost_history(self, reader):
        """A change that the store no longer tells is found by another read."""

        def change_and_forget():
            reader.write(FIRST)
            reader.fake.forget_history()

        reader.changes = [change_and_forget]
        assert await reader.read() == reader.list_rows()

    async def test_history_lost_again_and_again(self, reader):
        """A read that can't be of one moment fails rather than mixes two."""

        def change_and_forget():
            reader.write(FIRST)
            reader.fake.forget_history()

        reader.fake.after_page = change_and_forget
        answer = await reader.store.read_table('t')
        assert isinstance(answer, StoreSilent)
        assert reader.fake.calls.count(READ) == 3 * MAX_READS

    async def test_restored_store(self, reader):
        """A restore between two pages does not leave rows of two copies."""
        await asyncio.sleep(0.1)
        reader.write(FIRST, LAST)
        reader.changes = [
            lambda: reader.fake.restore(0.05, rewrite_after=60),
        ]
        assert await reader.read() == reader.list_rows()


class TestHandlers:
    """Readers of tables that find a change between two pages."""

    async def test_desired_state(self, reader):
        """A key that was taken away between two pages was served on.

        Review, case 12: the desired state filled a page of its own.
        """
        reader.fake.page_rows = 1
        reader.fake.put('op', 'config', {'version': 1, 'routes': []})
        reader.fake.put('op', 'version/m', {'model': 'm', 'version': 1})
        reader.changes = [
            lambda: reader.fake.put(
                'op', 'config', {'version': 2, 'routes': []}
            )
        ]
        state = FleetState()
        reader.follow(
            names.OPERATORS_TABLE, build_operator_handler(state, FLEET)
        )
        await wait_for(lambda: state.desired and state.desired.version == 2)

    async def test_leaving_target(self, reader):
        """A target that left between two pages was sent requests."""
        for key in KEYS:
            reader.fake.put(names.TARGETS_TABLE, key, describe_target())
        reader.changes = [
            lambda: reader.fake.put(
                names.TARGETS_TABLE, FIRST, describe_target('draining')
            )
        ]
        state = FleetState()
        reader.follow(
            names.TARGETS_TABLE,
            build_target_handler(TargetList(state=state), REGIONS),
        )
        await wait_for(lambda: FIRST in state.targets)
        await wait_for(lambda: state.targets[FIRST].leaving)

    async def test_registrations(self, reader):
        """A daemon that registered between two pages was never asked."""

        def register(key: str) -> None:
            record = RelayRecord(
                daemon=DaemonId(key),
                address='127.0.0.1:1',
                failure_domain=NEAR_DOMAIN,
                region=REGIONS[NEAR_DOMAIN],
            )
            reader.fake.put(DAEMONS_TABLE, key, msgspec.json.encode(record))

        for key in KEYS[1:]:
            register(key)
        reader.changes = [lambda: register(FIRST)]
        relays = RelayRegistry(store=reader.store, rng=random.Random(1))
        await relays.wait_read()
        assert {each.daemon for each in await relays.list()} == set(KEYS)
