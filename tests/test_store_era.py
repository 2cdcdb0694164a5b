"""Tests of :mod:`ragwortcourse.platform.store_era`."""

import asyncio

import pytest

from ragwortcourse.platform.store_era import StoreEra
from ragwortcourse.platform.store_position import UNKNOWN_ERA, StorePosition


class TestStoreEra:
    """Era that the answers of the store state."""

    def test_rises(self):
        """The newest era is kept."""
        era = StoreEra()
        assert [era.read(header) for header in ('3', '4')] == [3, 4]
        assert era.newest == 4

    def test_first_era(self, caplog):
        """The first era is not logged as a restore."""
        StoreEra().read('3')
        assert not caplog.records

    def test_restore_is_logged(self, caplog):
        """A line with both eras is logged when the era rises."""
        era = StoreEra()
        era.read('3')
        era.read('4')
        (record,) = caplog.records
        assert (record.era_before, record.era) == (3, 4)

    @pytest.mark.parametrize(
        'header', [None, '', '-1', '4.0', '\u0664', '9' * 30]
    )
    def test_unreadable(self, header, caplog):
        """An answer without a readable era counts as one of the newest."""
        era = StoreEra()
        era.read('3')
        assert [era.read(header) for _ in range(9)] == [3] * 9
        assert len(caplog.records) == 1

    def test_not_stated(self, caplog):
        """A store that never states an era is not remarked on."""
        era = StoreEra()
        assert era.read(None) == UNKNOWN_ERA
        assert not caplog.records

    def test_lower(self, caplog):
        """A lower era is logged once and does not lower the newest one."""
        era = StoreEra()
        era.read('3')
        assert [era.read('2') for _ in range(9)] == [2] * 9
        assert era.newest == 3
        assert len(caplog.records) == 1

    async def test_waiting(self):
        """A waiting task learns of a newer era."""
        era = StoreEra()
        era.read('3')
        waiting = asyncio.ensure_future(era.await_newer(3))
        await asyncio.sleep(0)
        assert not waiting.done()
        era.read('4')
        await asyncio.wait_for(waiting, 1)


class TestStorePosition:
    """Order of positions in the store."""

    def test_era_first(self):
        """A position of a newer era is later, whatever its revision."""
        older = StorePosition(era=1, revision=900)
        assert older < StorePosition(era=2, revision=5)
