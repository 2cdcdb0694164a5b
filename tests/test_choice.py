"""Tests of :mod:`ragwortcourse.forwarding.choice`."""

import asyncio
import dataclasses
from collections import Counter

import pytest

from fakes.fleet_parts import (
    ENGINES,
    MODEL,
    make_forwarder,
    make_permitted_call,
    make_plain,
    make_settings,
    make_state,
    make_target,
)
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.balancing.search import MOST_TARGETS
from ragwortcourse.forwarding.choice import choose_target
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.membership.relay_daemons import describe_daemon

pytestmark = pytest.mark.looptime
# Targets of the largest fleet to support.
TARGETS = 2300
# Maximum number of look-ups of loads for one choice.
LOOK_UPS = 40
# Bound of the users on requests to a cold target in one second.
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5


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


class TestRestingTargets:
    """Targets that want nothing from this daemon for some time."""

    @pytest.mark.parametrize('tried', [(), ('t-9',)])
    async def test_not_chosen(self, tried):
        """No try of a request goes to a resting target."""
        forwarder = open_engines(4)
        rests = forwarder.safeguards.target_rests
        for name in ('t-0', 't-1', 't-2'):
            rests.note_answer(forwarder.state.targets[name], 3)
        chosen = {choose(forwarder, tried).name for _ in range(50)}
        assert chosen == {'t-3'}

    async def test_all_rest(self):
        """Requests are refused at once until the first rest ends."""
        forwarder = open_engines(3)
        rests = forwarder.safeguards.target_rests
        for seconds, name in enumerate(('t-0', 't-1', 't-2'), start=3):
            rests.note_answer(forwarder.state.targets[name], seconds)
        refusal = choose(forwarder)
        assert refusal.reason is Reason.NO_TARGET
        assert 3 <= refusal.retry_after < 3.5
        assert refusal.inputs['resting'] == 3
        await asyncio.sleep(3.1)
        assert choose(forwarder).name == 't-0'

    async def test_weights_on_their_way(self):
        """Callers come back late while all engines have expired weights.

        Weights take seconds to arrive. Callers that came back after half a
        second were refused a second time, their last.
        """
        forwarder = open_engines(3)
        forwarder.state.weights[MODEL] = (
            AnnouncedVersion(version=2, seen_at=-100, observed=True),
        )
        refusals = [choose(forwarder) for _ in range(20)]
        assert all(each.reason is Reason.NO_TARGET for each in refusals)
        assert min(each.retry_after for each in refusals) >= 0.85


class TestFullTargets:
    """Targets that report their pace and have no free slot."""

    @pytest.mark.parametrize('count', [60, TARGETS])
    async def test_cost(self, monkeypatch, count):
        """A choice examines few of the full targets closely.

        Waiting requests choose some hundred times a second. With a close
        look at each target, three of them took a third of a core.
        """
        forwarder = open_engines(count)
        report = ReportedLoad(running=16, waiting=40, slots=16, pace=1)
        for target in forwarder.state.targets.values():
            forwarder.find_load(target).note_load(report, read_clock())
            forwarder.balancing.paces.note_report(target, report, read_clock())
        looked_up = []
        find_load = forwarder.find_load
        # The domains of all targets are counted once in some time.
        choose(forwarder)
        monkeypatch.setattr(
            forwarder,
            'find_load',
            lambda target: (
                looked_up.append(target.name),
                find_load(target),
            )[1],
        )
        assert isinstance(choose(forwarder), Refusal)
        assert len(looked_up) <= MOST_TARGETS + LOOK_UPS


class TestColdTarget:
    """Requests of all daemons together to a cold target."""

    @pytest.mark.parametrize('daemons', [9, 45, 350])
    async def test_one_request_a_second_from_each_daemon(self, daemons):
        """A cold target gets what it bears, however many daemons there are."""
        rate, target = 36, make_target(cold_seconds=60)
        records = [
            describe_daemon(make_settings(daemon=DaemonId(f'e{number}')))
            for number in range(daemons)
        ]
        sent = 0
        for record in records:
            forwarder = make_forwarder(
                make_state(target), None, daemon=record.daemon
            )
            forwarder.safeguards.retry_budget.daemons = daemons
            forwarder.safeguards.daemon_ranking.register(records)
            load = forwarder.find_load(target)
            for _ in range(rate):
                if not isinstance(choose(forwarder), Refusal):
                    load.count_sent(read_clock())
                    sent += 1
        assert sent <= rate * COLD_OVERSHOOT + COLD_SLACK
        assert sent >= rate * 0.7

    async def test_daemons_not_known_yet(self):
        """A daemon that does not know the others takes no whole rate."""
        target = make_target(cold_seconds=60)
        forwarder = make_forwarder(make_state(target), None)
        state = forwarder.state
        rules = dataclasses.replace(
            state.desired.services[ENGINES], cold_rate=5
        )
        state.desired.services[ENGINES] = rules
        chosen = choose(forwarder)
        assert chosen == target
        forwarder.find_load(target).count_sent(read_clock())
        assert isinstance(choose(forwarder), Refusal)
