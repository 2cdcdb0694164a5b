"""Rounds of versions that an engine gets while calls to it are done late."""

import pytest

from fakes.late_engine import LateEngine
from fakes.load_cause import LoadCause
from fakes.rotting_stage import RottingStage
from fakes.weight_rounds import play_round

SEEDS = (5, 12, 43, 52, 56, 100, 103, 118, 119, 134, 157, 185, 215, 223, 295)


def find_causes(seeds: int) -> set[LoadCause]:
    """Return the causes of all findings of some rounds."""
    return {
        finding.cause
        for seed in range(1, seeds + 1)
        for finding in play_round(seed).findings
    }


@pytest.mark.parametrize('seed', SEEDS)
def test_engine_loads_whole_versions(seed):
    """No order loads a wrong chunk, and the newest version arrives."""
    assert [str(finding) for finding in play_round(seed).findings] == []


class TestChecks:
    """Checks of the rounds find what they look for."""

    def test_finds_late_orders(self, monkeypatch):
        """An engine that accepts orders without their condition is found."""
        order_load = LateEngine.order_load

        async def order(self, model, version, expected_orders=None):
            return await order_load(self, model, version)

        monkeypatch.setattr(LateEngine, 'order_load', order)
        assert LoadCause.LATE_ORDER in find_causes(30)

    def test_finds_chunks_that_nobody_checks(self, monkeypatch):
        """Rot that no reader of the stage sees is found."""

        def read(self, index):
            chunk = self._chunks.get(index)
            return None if chunk is None else chunk.written

        monkeypatch.setattr(RottingStage, 'read', read)
        assert LoadCause.OLD_CHECK in find_causes(30)

    def test_finds_versions_that_never_come(self, monkeypatch):
        """An engine that refuses each order is found."""
        monkeypatch.setattr(LateEngine, '_is_busy', lambda _: True)
        assert LoadCause.NOT_HELD in find_causes(2)
