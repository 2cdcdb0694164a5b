"""Tests of :mod:`measure.fleet_loads`."""

from measure.fleet_loads import SIZES, run


class TestRun:
    """Rows of :func:`measure.fleet_loads.run`."""

    def test_a_row_for_each_size(self):
        """Each size of fleet has a row with positive figures."""
        rows = list(run(repeats=2))
        assert [(row['daemons'], row['targets']) for row in rows] == list(SIZES)
        assert all(row['received_us'] > 0 for row in rows)
        assert all(row['choice_us'] > 0 for row in rows)
