"""Tests of :mod:`ragwortcourse.forwarding.balancing.memory`."""

import asyncio
import dataclasses

import pytest

from fakes.fleet_parts import (
    ENGINE_RULES,
    ENGINES,
    make_call,
    make_forwarder,
    make_permitted_call,
    make_state,
    make_target,
)
from fakes.uneven_fleet import FleetDay, play_day
from fakes.uneven_outcomes import compute_figures
from ragwortcourse.forwarding.balancing.memory import (
    MEAN_OF_MEDIAN,
    count_excess,
    estimate_tokens,
    has_memory,
)
from ragwortcourse.forwarding.choice import choose_target
from ragwortcourse.forwarding.peer_counts import PeerCounts
from ragwortcourse.forwarding.reply import Refusal
from ragwortcourse.forwarding.target_load import TargetLoad
from ragwortcourse.identifiers import DaemonId, TargetName

MEMORY = 10_000
SEEDS = (1, 4, 5)
ENGINE = dataclasses.replace(ENGINE_RULES, memory_tokens=MEMORY)
NAME = TargetName('t-1')


def make_load(*sizes: float, others: int = 0) -> TargetLoad:
    """Build a load of own requests of some sizes, and others'."""
    peers = PeerCounts()
    peers.note(DaemonId('e-2'), {NAME: (others, 0)}, 0)
    load = TargetLoad(name=NAME, born=1, peers=peers)
    for size in sizes:
        load.count_sent(0, size)
    return load


class TestEstimateTokens:
    """Tokens of one request."""

    @pytest.mark.parametrize(
        ('hint', 'most', 'answer'),
        [
            (None, 0, ENGINE.mean_answer_tokens),
            (None, 50, 50),
            (40, 1000, 40 * MEAN_OF_MEDIAN),
            (900, 100, 100),
        ],
    )
    def test_answer(self, hint, most, answer):
        """The caller's estimate counts, up to the most that it takes."""
        call = make_call(
            prompt_tokens=500, answer_tokens=most, expected_tokens=hint
        )
        assert estimate_tokens(call, ENGINE) == 500 + answer


class TestCountExcess:
    """Large requests that other daemons are told of."""

    def test_large(self):
        """Messages do not carry sizes that hardly matter."""
        mean = ENGINE.mean_prompt_tokens + ENGINE.mean_answer_tokens
        wide = dataclasses.replace(ENGINE, memory_tokens=500_000)
        load = make_load(mean, 4 * mean)
        assert count_excess(load, ENGINE) == 3 * mean
        assert count_excess(load, wide) == 0
        assert count_excess(load, ENGINE_RULES) == 0
        assert count_excess(make_load(10_000), wide) == 10_000 - mean


class TestHasMemory:
    """Room for one more request."""

    def fits(
        self, load: TargetLoad, prompt: int, engine=ENGINE, excess=0
    ) -> bool:
        """Tell whether a prompt fits beside a load."""
        call = make_call(prompt_tokens=prompt, answer_tokens=94)
        return has_memory(load, engine, call, excess=excess, now=0)

    def test_beside_own(self):
        """Large requests are not put together until the engine crashes."""
        assert self.fits(make_load(4000), 1900)
        assert not self.fits(make_load(4000), 4000)

    def test_beside_others(self):
        """Requests of other daemons count, too."""
        assert self.fits(make_load(others=2), 2800)
        assert not self.fits(make_load(others=5), 2800)
        assert not self.fits(make_load(others=2), 2800, excess=2000)

    def test_ended(self):
        """The memory of a request that has ended is free."""
        load = make_load(4000, 3000)
        load.count_ended(4000)
        assert self.fits(load, 2400)
        load.count_ended(3000)
        assert load.own_tokens == 0

    def test_alone(self):
        """Only a request larger than the memory never fits."""
        assert self.fits(make_load(), MEMORY - 94)
        assert not self.fits(make_load(), MEMORY)

    def test_unknown_size(self):
        """An unknown size is no limit."""
        assert self.fits(make_load(9000), 10**8, ENGINE_RULES)


@pytest.mark.looptime
class TestChooseTarget:
    """Choice among engines with some memory."""

    async def test_without_memory(self):
        """A request goes where it fits, and is refused if it fits nowhere."""
        targets = [make_target(f't-{number}') for number in range(2)]
        forwarder = make_forwarder(make_state(*targets), None)
        services = forwarder.state.desired.services
        services[ENGINES] = dataclasses.replace(
            services[ENGINES], engine=ENGINE
        )
        now = asyncio.get_running_loop().time()
        forwarder.find_load(targets[0]).count_sent(now, 6000)
        work = make_permitted_call(arrived_at=now, prompt_tokens=4000)
        chosen = [
            choose_target(forwarder, work, ENGINES, ()) for _ in range(20)
        ]
        assert {each.name for each in chosen} == {'t-1'}
        work = make_permitted_call(arrived_at=now, prompt_tokens=MEMORY)
        refusal = choose_target(forwarder, work, ENGINES, ())
        assert isinstance(refusal, Refusal)


class TestReplay:
    """Large requests of 41 daemons at engines with little memory."""

    def test_no_crash(self):
        """Late counts of others do not let engines exceed their memory."""
        memory = 40_000
        for seed in SEEDS:
            bounded = play_large(seed, memory=memory)
            assert bounded.most_held <= memory
            assert bounded.served > 0.9
        assert play_large(SEEDS[0], memory=0).most_held > memory


def play_large(seed: int, *, memory: int):
    """Play a day on which one request in 20 is ten times as long."""
    return compute_figures(
        play_day(
            FleetDay(
                seed=seed,
                seconds=10,
                load=0.45,
                memory=memory,
                large_share=0.05,
            )
        )
    )
