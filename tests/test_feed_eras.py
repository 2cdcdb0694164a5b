"""Tests of a feed whose store states a newer era."""

import asyncio
import contextlib
import random

import pytest

from ragwortcourse.platform.feed import TableFeed, TableHandler
from ragwortcourse.platform.store_row import StoreRows

pytestmark = pytest.mark.looptime
WAIT_SECONDS = 1.0


class ScriptedStore:
    """A store whose eras a test sets.

    :ivar newest_era: the newest era that any answer has stated.
    :ivar era: era of the answers to this feed.
    :ivar calls: era of the position of each call for changes, and none for a
        read of all rows.
    """

    def __init__(self) -> None:
        self.newest_era = 1
        self.era = 1
        self.calls: list[int | None] = []

    async def read_table(self, table):
        """Return no rows."""
        self.calls.append(None)
        return StoreRows(rows=(), revision=9, era=self.era)

    async def await_changes(self, table, after, *, wait, known_at):
        """Return no rows when the time is up."""
        self.calls.append(after.era)
        await asyncio.sleep(wait)
        return StoreRows(rows=(), revision=9, era=self.era)


@contextlib.asynccontextmanager
async def follow_store():
    """Follow a store; give it and the names of the handler's calls."""
    store, told = ScriptedStore(), []
    feed = TableFeed(
        store=store,
        table='t',
        wait=WAIT_SECONDS,
        handler=TableHandler(
            replace=lambda rows, age: told.append('replace'),
            change=lambda rows, age, gap: told.append('change'),
            confirm=lambda sent_at: None,
            lose=lambda seconds: None,
            restore=lambda: told.append('restore'),
            regain=lambda *_: told.append('regain'),
        ),
        rng=random.Random(1),
    )
    task = asyncio.ensure_future(feed.follow())
    await asyncio.sleep(WAIT_SECONDS * 2.5)
    yield store, told
    task.cancel()


class TestFeed:
    """Reads after a newer era was stated."""

    async def test_first_era(self):
        """The first era that is stated is no restore."""
        async with follow_store() as (_, told):
            assert told == ['replace']

    async def test_stated_to_this_feed(self):
        """All rows are read after an answer of a newer era."""
        async with follow_store() as (store, told):
            store.era = store.newest_era = 2
            await asyncio.sleep(WAIT_SECONDS * 3)
            assert told == ['replace', 'restore', 'replace']

    async def test_stated_to_another_feed(self):
        """All rows are read without a further call for changes."""
        async with follow_store() as (store, told):
            store.newest_era = 2
            calls = len(store.calls)
            await asyncio.sleep(WAIT_SECONDS / 2 + 0.1)
            assert store.calls[calls:][:1] == [None]
            assert told == ['replace', 'replace']

    async def test_other_answers_stay_behind(self):
        """A store that goes on stating an earlier era is read once more."""
        async with follow_store() as (store, _):
            store.newest_era = 2
            await asyncio.sleep(WAIT_SECONDS * 20)
            assert store.calls.count(None) == 2

    async def test_lower_era(self):
        """Answers of an earlier era are used and start no reading anew."""
        async with follow_store() as (store, told):
            store.era = 0
            await asyncio.sleep(WAIT_SECONDS * 20)
            assert told == ['replace']

    async def test_late_answer(self):
        """After an answer of an earlier era all rows are read."""
        async with follow_store() as (store, told):
            store.era = store.newest_era = 2
            await asyncio.sleep(WAIT_SECONDS * 3)
            store.era = 1
            await asyncio.sleep(WAIT_SECONDS * 2)
            store.era = 2
            told.clear()
            await asyncio.sleep(WAIT_SECONDS * 2)
            assert told == ['replace']
