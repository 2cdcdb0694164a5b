"""Tests of :mod:`measure.fleet_loads`."""

from measure.fleet_loads import SIZES, run


class TestRun:
    """The measurement itself."""

    def test_a_row_for_each_size(self):
        """Each size of fleet has its figures."""
        rows = list(run(repeats=2))
        assert [(row['daemons'], row['targets']) for row in rows] == list(SIZES)
        assert all(row['received_us'] > 0 for row in rows)
        assert all(row['choice_us'] > 0 for row in rows)
