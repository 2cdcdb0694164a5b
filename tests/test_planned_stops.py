"""Tests of simultaneous planned stops in every order, without failed calls."""

import asyncio
import functools
import itertools
import os

import pytest

from fakes.callers import Ending
from fakes.stage import SiteRunner
from ragwortcourse.messages.withdrawal import WithdrawalScope

LOAD_PER_SECOND = 16
ROUTING_GRACE_SECONDS = 3
SETTLE_SECONDS = 6
STOPPED_ENTRY = 'entry-alpha-0'
STOPPED_AGENT = 'service-alpha-0'
WITHDRAWN_TARGET = 'engine-gamma-0'
WITHDRAWN_DOMAIN = 'beta'


async def stop_entry(stage):
    """Stop an entry daemon and replace it."""
    await stage.site.replace(STOPPED_ENTRY)


async def stop_agent(stage):
    """Stop an agent; its target must get no new work."""
    stage.mark(STOPPED_AGENT)
    await stage.site.drain(STOPPED_AGENT)


async def withdraw(stage, scope, name):
    """Take a target or a failure domain out of service."""
    await stage.change_withdrawal(name, withdraw=True, scope=scope)
    stage.mark(name)


async def deploy(stage):
    """Deploy a new version."""
    await stage.site.deploy('v2')


STEPS = {
    'entry': stop_entry,
    'agent': stop_agent,
    'target': functools.partial(
        withdraw, scope=WithdrawalScope.TARGET, name=WITHDRAWN_TARGET
    ),
    'domain': functools.partial(
        withdraw,
        scope=WithdrawalScope.FAILURE_DOMAIN,
        name=WITHDRAWN_DOMAIN,
    ),
    'deploy': deploy,
}
ORDERS = list(itertools.permutations(STEPS))
# Every fifth order of the five steps covers each order of any three steps.
# RAGWORTCOURSE_ORDERS=all runs all 120 orders.
ORDER_STRIDE = 1 if os.environ.get('RAGWORTCOURSE_ORDERS') == 'all' else 5
GAP_SECONDS = 0.4
CASES = [
    *((order, GAP_SECONDS) for order in ORDERS[::ORDER_STRIDE]),
    *((order, 0) for order in ORDERS[:: ORDER_STRIDE * 5]),
]


async def run_steps(stage, order, gap):
    """Start the steps ``gap`` seconds apart and wait until all have ended."""
    steps = []
    for name in order:
        steps.append(asyncio.ensure_future(STEPS[name](stage)))
        await asyncio.sleep(gap)
    await asyncio.gather(*steps)
    await asyncio.sleep(SETTLE_SECONDS)


def list_late_starts(stage):
    """List work that started at a stopped or withdrawn place too late."""
    return [
        begun
        for begun in stage.site.run_recorder.run_starts
        for place in (begun.target, begun.failure_domain)
        if begun.at > stage.marks.get(place, stage.now) + ROUTING_GRACE_SECONDS
    ]


class TestTogether:
    """Five planned changes, at once and one after another."""

    @pytest.mark.parametrize(('order', 'gap'), CASES)
    def test_no_call_notices(self, tmp_path, order, gap):
        """Every call gets a complete answer; stopped places get no new work."""
        stage = SiteRunner(folder=tmp_path)
        stage.run(stage.site.publish('v2'))
        stage.begin_load(LOAD_PER_SECOND)
        stage.run(run_steps(stage, order, gap))
        faults = stage.end()
        results = stage.callers.results
        late = list_late_starts(stage)
        stage.close()
        assert faults == []
        assert [
            one for one in results if one.ending is not Ending.COMPLETE
        ] == []
        assert late == []
        last = [one for one in results if one.key is None][-1]
        assert last.version == 'v2'
