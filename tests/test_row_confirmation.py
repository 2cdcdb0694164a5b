"""Tests of confirming cached rows at the demand of other daemons."""

import asyncio

import pytest

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_confirmation import (
    CONFIRM_SECONDS,
    RowConfirmation,
)
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRow,
    StoreRows,
    StoreSilent,
)

ERA = 1
OLD_SECONDS = 5.0
ANSWER_SECONDS = 0.05
CHANGED = StoreRows(
    rows=(StoreRow(key='a', content=b'new'),), revision=4, era=ERA
)


class LateStore:
    """A store that gives one answer, after some time."""

    def __init__(self) -> None:
        self.answer = CHANGED
        self.seconds = ANSWER_SECONDS
        self.calls = 0

    async def await_changes(self, table, after, *, wait, known_at):
        """Return the answer after some time."""
        self.calls += 1
        assert not wait
        await asyncio.sleep(self.seconds)
        return self.answer


def make_cache(revision: int = 3, *, witness=None) -> RowCache:
    """Build a cache whose rows are old."""
    cache = RowCache(witness=witness)
    rows = StoreRows(
        rows=(StoreRow(key='a', content=b'old'),),
        revision=revision,
        era=ERA,
        known_age=OLD_SECONDS,
        age=OLD_SECONDS,
    )
    cache.replace(rows, read_boot_clock())
    return cache


def read_age(cache: RowCache) -> float:
    """Return the age of the rows in seconds."""
    return read_boot_clock() - cache.complete_at


@pytest.mark.looptime
class TestRowConfirmation:
    """Rows that a daemon confirms for others."""

    async def test_one_call_for_all(self):
        """Daemons that ask at one moment cause one call to the store."""
        cache, store = make_cache(), LateStore()
        confirmation = RowConfirmation(store=store, cache=cache, table='t')
        await asyncio.gather(*(confirmation.confirm() for _ in range(9)))
        assert store.calls == 1
        assert read_age(cache) < OLD_SECONDS / 2
        assert [row.content for row in cache.list_rows()] == [b'new']
        await confirmation.confirm()
        assert store.calls == 2

    async def test_one_that_stops_waiting(self):
        """A daemon that leaves does not end the call for the others."""
        cache, store = make_cache(), LateStore()
        confirmation = RowConfirmation(store=store, cache=cache, table='t')
        leaving = asyncio.ensure_future(confirmation.confirm())
        staying = asyncio.ensure_future(confirmation.confirm())
        await asyncio.sleep(ANSWER_SECONDS / 2)
        leaving.cancel()
        await staying
        assert store.calls == 1
        assert read_age(cache) < OLD_SECONDS / 2

    async def test_store_that_answers_late(self):
        """Rows are not passed on as fresh, nor held back, by a late store."""
        cache, store = make_cache(), LateStore()
        store.seconds = 2 * CONFIRM_SECONDS
        confirmation = RowConfirmation(store=store, cache=cache, table='t')
        began_at = asyncio.get_running_loop().time()
        await confirmation.confirm()
        ended_at = asyncio.get_running_loop().time()
        assert ended_at - began_at == pytest.approx(CONFIRM_SECONDS)
        assert read_age(cache) >= OLD_SECONDS

    @pytest.mark.parametrize(
        'answer',
        [
            HistoryGone(),
            StoreSilent(detail='status 503'),
            StoreRows(rows=(), revision=1, era=ERA + 1),
        ],
    )
    async def test_no_confirmation(self, answer):
        """A lost history and a restored store do not confirm old rows."""
        cache, store = make_cache(), LateStore()
        store.answer = answer
        await RowConfirmation(store=store, cache=cache, table='t').confirm()
        assert read_age(cache) >= OLD_SECONDS
        assert [row.content for row in cache.list_rows()] == [b'old']


class TestWitness:
    """Answers about another table that show that this one is complete."""

    @pytest.mark.parametrize(
        ('revision', 'is_complete'), [(2, False), (3, True), (4, True)]
    )
    def test_newest_transaction(self, revision, is_complete):
        """Rows before a transaction of any table may be out of date."""
        witness = RowCache()
        cache = make_cache(revision, witness=witness)
        assert read_age(cache) >= OLD_SECONDS
        witness.replace(
            StoreRows(rows=(), revision=3, era=ERA), read_boot_clock()
        )
        assert (read_age(cache) < OLD_SECONDS) is is_complete

    def test_restored_store(self):
        """A transaction of another era says nothing about these rows."""
        witness = RowCache()
        cache = make_cache(witness=witness)
        witness.replace(
            StoreRows(rows=(), revision=1, era=ERA + 1), read_boot_clock()
        )
        assert read_age(cache) >= OLD_SECONDS
