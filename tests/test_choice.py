"""Tests of :mod:`ragwortcourse.forwarding.choice`."""

import asyncio
from collections import Counter

import pytest

from fakes.fleet_parts import (
    ENGINES,
    make_forwarder,
    make_permitted_call,
    make_plain,
    make_state,
    make_target,
)
from ragwortcourse.forwarding.choice import choose_target
from ragwortcourse.forwarding.reply import Reason

pytestmark = pytest.mark.looptime
# Targets of the largest fleet to support.
TARGETS = 2300
# Maximum number of look-ups of loads for one choice.
LOOK_UPS = 40


def open_engines(count: int, **changes):
    """Build a forwarder whose targets are past their slow start."""
    engines = [make_target(f't-{number}', **changes) for number in range(count)]
    plain = [make_plain(f'p-{number}') for number in range(count)]
    forwarder = make_forwarder(make_state(*engines, *plain), None)
    for target in (*engines, *plain):
        forwarder.find_load(target).unavailable_until = -10
    return forwarder


def choose(forwarder, tried=()):
    """Choose a target for a new request."""
    now = asyncio.get_running_loop().time()
    return choose_target(
        forwarder, make_permitted_call(arrived_at=now), ENGINES, tried
    )


class TestChooseTarget:
    """Choice of a target among the listed ones."""

    async def test_cost(self, monkeypatch):
        """A choice does not examine every target of a large fleet."""
        forwarder = open_engines(TARGETS)
        looked_up = []
        find_load = forwarder.find_load

        def count_look_up(target):
            looked_up.append(target.name)
            return find_load(target)

        monkeypatch.setattr(forwarder, 'find_load', count_look_up)
        assert choose(forwarder).service == ENGINES
        assert len(looked_up) <= LOOK_UPS

    async def test_all_alike(self):
        """Equal usable targets are chosen about equally often."""
        forwarder = open_engines(5)
        counts = Counter(choose(forwarder).name for _ in range(1000))
        assert len(counts) == 5
        assert min(counts.values()) > 150

    async def test_avoided(self):
        """An avoided target is chosen only if there is no other."""
        forwarder = open_engines(4)
        now = asyncio.get_running_loop().time()
        for name in ('t-0', 't-1', 't-2'):
            load = forwarder.find_load(forwarder.state.targets[name])
            load.target_health.note_refusal(now)
        assert {choose(forwarder).name for _ in range(50)} == {'t-3'}
        last = forwarder.find_load(forwarder.state.targets['t-3'])
        last.target_health.note_refusal(now)
        assert len({choose(forwarder).name for _ in range(100)}) == 4

    async def test_tried(self):
        """No target is tried twice; without another the request is refused."""
        forwarder = open_engines(2)
        assert choose(forwarder, ['t-0']).name == 't-1'
        assert choose(forwarder, ['t-0', 't-1']).reason is Reason.NO_TARGET

    async def test_the_only_usable_one_of_many(self):
        """The only usable target is found among many unusable ones."""
        forwarder = open_engines(100, leaving=True)
        forwarder.state.targets['t-here'] = make_target('t-here')
        assert {choose(forwarder).name for _ in range(20)} == {'t-here'}
