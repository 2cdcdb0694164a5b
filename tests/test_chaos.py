"""Random fault schedules, after which every guarantee must hold."""

import os

import pytest

from fakes.chaos import run_schedule
from fakes.stage import SiteRunner

CI_SEEDS = 12
LOAD_PER_SECOND = 12
SEEDS = range(1, 1 + int(os.environ.get('RAGWORTCOURSE_SEEDS', CI_SEEDS)))


class TestRandomFaults:
    """A site under load while hosts, links, platform and engines fail."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_every_promise_holds(self, tmp_path, seed):
        """Callers got true outcomes, and no charge ran twice."""
        stage = SiteRunner(folder=tmp_path, seed=seed)
        stage.begin_load(LOAD_PER_SECOND)
        played = run_schedule(stage, seed)
        faults = stage.end()
        stage.close()
        assert faults == [], played
