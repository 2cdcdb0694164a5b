"""Tests of :mod:`ragwortcourse.platform.restore_hold`."""

import json

import pytest

from ragwortcourse.platform.restore_hold import RestoreHold
from ragwortcourse.platform.store_row import StoreRow, StoreRows


def make_row(key: str, version: int | None = None) -> StoreRow:
    """Build a row, with a version in its content if one is given."""
    content = {} if version is None else {'version': version}
    return StoreRow(key=key, content=json.dumps(content).encode())


def make_answer(*rows: StoreRow) -> StoreRows:
    """Build an answer of the second era."""
    return StoreRows(rows=rows, revision=1, era=2)


def index_rows(answer: StoreRows) -> dict[str, StoreRow]:
    """Index the rows of an answer by key."""
    return {row.key: row for row in answer.rows}


class TestMergeRestored:
    """Rows after the first read of a restored store."""

    @pytest.fixture
    def hold(self):
        """Build a hold that does not end during a test."""
        return RestoreHold(seconds=60)

    def test_older_version(self, hold):
        """Of two versions the higher one is kept, as they only rise."""
        before = [make_row('config', 6), make_row('version/m', 2)]
        read = make_answer(make_row('config', 5), make_row('version/m', 3))
        rows = index_rows(hold.merge_restored(read, before))
        assert rows['config'] == make_row('config', 6)
        assert rows['version/m'] == make_row('version/m', 3)

    def test_missing_version(self, hold):
        """A row with a version that is missing is kept for good."""
        rows = index_rows(
            hold.merge_restored(make_answer(), [make_row('config', 6)])
        )
        assert rows['config'] == make_row('config', 6)

    def test_missing_row(self, hold):
        """A row without a version is held."""
        rows = index_rows(
            hold.merge_restored(make_answer(), [make_row('evacuate/a')])
        )
        assert rows['evacuate/a'].held

    def test_meaningless_version(self, hold):
        """A version that none can have does not go before a sound one."""
        before = [make_row('config', 10**399)]
        read = make_answer(make_row('config', 5))
        rows = index_rows(hold.merge_restored(read, before))
        assert rows['config'] == make_row('config', 5)

    def test_deeply_nested_content(self, hold):
        """A row that is nested too deeply has no version."""
        deep = b'{"version":9,"a":%s}' % (b'[' * 100_000 + b']' * 100_000)
        before = StoreRow(key='odd', content=deep)
        rows = index_rows(hold.merge_restored(make_answer(), [before]))
        assert rows['odd'].held

    def test_content_without_version(self, hold):
        """Of a row without a version the content that was read is taken."""
        before = StoreRow(key='odd', content=b'a')
        read = make_answer(StoreRow(key='odd', content=b'b'))
        rows = index_rows(hold.merge_restored(read, [before]))
        assert rows['odd'].content == b'b'

    def test_read_again(self, hold):
        """Another read of all rows within the hold keeps held rows."""
        hold.merge_restored(make_answer(), [make_row('evacuate/a')])
        rows = index_rows(hold.merge_held(make_answer()))
        assert rows['evacuate/a'].held
        written = hold.merge_held(make_answer(make_row('evacuate/a')))
        assert not index_rows(written)['evacuate/a'].held


class TestApplyChanges:
    """End of a hold."""

    def test_due(self):
        """Rows that were not written again are deleted."""
        hold = RestoreHold(seconds=0)
        before = [make_row('evacuate/a'), make_row('evacuate/b')]
        hold.merge_restored(make_answer(), before)
        answer = hold.apply_changes(make_answer(make_row('evacuate/b')))
        rows = index_rows(answer)
        assert rows['evacuate/a'].content is None
        assert rows['evacuate/b'].content is not None
        assert not hold.apply_changes(make_answer()).rows
