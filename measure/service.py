"""Answered calls while a failure domain is withdrawn and returned.

The site has the size of the smaller existing installation: eight engines,
three replicas of a service and nine entry daemons in three failure domains. It
runs in virtual time on the stand-ins of fakes/. The baseline sends calls to
the targets in round-robin order, without admission control, and learns of a
withdrawal from the list of hosts, 5 s late.
"""

import asyncio
import dataclasses
import pathlib
import statistics
import tempfile
from collections.abc import Iterator
from typing import Final

from fakes.callers import Callers, Ending
from fakes.engine_load import EngineLoad
from fakes.round_robin_callers import RoundRobinCallers
from fakes.site_plan import SiteSize
from fakes.stage import SiteRunner
from measure.program import Row

RATE_PER_SECOND: Final = 30.0
BEFORE_SECONDS: Final = 15.0
DURING_SECONDS: Final = 20.0
AFTER_SECONDS: Final = 20.0
LATE_SECONDS: Final = 3.0
LIST_LAG_SECONDS: Final = 5.0
SEED: Final = 5
MILLISECONDS: Final = 1000
DOMAIN: Final = 'beta'
SIZE: Final = SiteSize(engines=(3, 3, 2), services=(1, 1, 1), entries=(3, 3, 3))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Phases:
    """Times of the withdrawal and the return, in seconds of the run."""

    withdrawn_at: float
    returned_at: float


def make_load() -> EngineLoad:
    """Make a load model with slow answers, so that calls overlap."""
    return EngineLoad(latency=0.2, pace=0.05, crash_load_ratio=3)


def run() -> Iterator[Row]:
    """Yield a row of the system and one of the baseline."""
    with tempfile.TemporaryDirectory() as folder:
        stage = open_stage(pathlib.Path(folder))
        phases = run_phases(stage, stage.callers)
        yield summarize(stage, stage.callers, phases)
        stage.close()
    with tempfile.TemporaryDirectory() as folder:
        stage = open_stage(pathlib.Path(folder))
        callers = RoundRobinCallers(site=stage.site, lag=LIST_LAG_SECONDS)
        phases = run_phases(stage, callers)
        yield {**summarize(stage, callers, phases), 'baseline': True}
        stage.close()


def open_stage(folder: pathlib.Path) -> SiteRunner:
    """Set up a site of size ``SIZE``."""
    return SiteRunner(
        folder=folder,
        seed=SEED,
        size=SIZE,
        make_load=make_load,
    )


def run_phases(stage: SiteRunner, callers: Callers) -> Phases:
    """Withdraw and return a failure domain under steady load."""
    stage.callers = callers
    stage.begin_load(RATE_PER_SECOND)
    stage.run(asyncio.sleep(BEFORE_SECONDS))
    withdrawn_at = stage.now
    stage.run(stage.change_withdrawal(DOMAIN, withdraw=True, at='alpha'))
    stage.run(asyncio.sleep(DURING_SECONDS))
    returned_at = stage.now
    stage.reset_warm_up(DOMAIN)
    stage.run(stage.change_withdrawal(DOMAIN, withdraw=False, at='alpha'))
    stage.run(asyncio.sleep(AFTER_SECONDS))
    stage.finish()
    return Phases(withdrawn_at=withdrawn_at, returned_at=returned_at)


def summarize(stage: SiteRunner, callers: Callers, phases: Phases) -> Row:
    """Make the row of one run."""
    withdrawn_at = phases.withdrawn_at
    returned_at = phases.returned_at
    runs = stage.site.run_recorder.count_runs()
    run_starts = stage.site.run_recorder.list_since(
        withdrawn_at + LATE_SECONDS, DOMAIN
    )
    keys = {result.key for result in callers.results if result.key is not None}
    ended = [result.ending for result in callers.results]
    latencies = sorted(
        (result.first_at - result.began_at) * MILLISECONDS
        for result in callers.results
        if result.first_at and result.key is None
    )
    # The baseline can collapse until hardly any call gets a first token.
    twentieths = (
        statistics.quantiles(latencies, n=20) if len(latencies) > 1 else [0]
    )
    median = statistics.median(latencies) if latencies else 0
    return {
        'measure': 'service',
        'virtual_time': True,
        'calls': len(callers.results),
        'served_before': share_served(callers, 0, withdrawn_at),
        'served_during': share_served(callers, withdrawn_at, returned_at),
        'served_after': share_served(callers, returned_at, stage.now),
        'cut': sum(
            end in {Ending.ERROR_EVENT, Ending.DISCONNECTED} for end in ended
        ),
        'lost': sum(result.outcome == 'unknown' for result in callers.results),
        'twice': sum(runs[key] > 1 for key in keys),
        'late': sum(each.at < returned_at for each in run_starts),
        'target_deaths': sum(
            engine.crashes for engine in stage.site.engines.values()
        ),
        'first_token_p50_ms': round(median, 1),
        'first_token_p95_ms': round(twentieths[-1], 1),
    }


def share_served(callers: Callers, since: float, until: float) -> float:
    """Return the share of calls begun in a period with a whole answer."""
    results = [
        each for each in callers.results if since <= each.began_at < until
    ]
    whole = sum(each.ending is Ending.COMPLETE for each in results)
    return round(whole / max(len(results), 1), 4)
