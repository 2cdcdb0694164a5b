"""Many entry daemons before engines whose machines are slow at times.

Callers of one failure domain send more than the others. Each daemon has a
real choice of targets and learns of the others' requests by messages that are
some hundred milliseconds old. Engines run passes: prompts are read first, and
each running request writes some tokens. All of it runs in virtual time.
"""

import asyncio
import dataclasses
import itertools
import math
import random
from unittest import mock

from fakes.fleet_parts import (
    ENGINES,
    MODEL,
    make_call,
    make_forwarder,
    make_route,
    make_target,
)
from fakes.uneven_engine import EngineJob, UnevenEngine
from fakes.uneven_outcomes import Outcome
from fakes.virtual_clocks import run_in_virtual_time
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.balancing.pace_news import (
    encode_news,
    note_news,
)
from ragwortcourse.forwarding.balancing.token_exchange import (
    list_excess,
    note_excess,
)
from ragwortcourse.forwarding.call import Call, PermittedCall
from ragwortcourse.forwarding.choice import choose_target, read_tokens
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.dissemination.load_codec import (
    FAR_NEWS_SECONDS,
    NEAR_NEWS_SECONDS,
)
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_exchange import (
    FAR_ROUNDS,
    NEAR_SECONDS,
)
from ragwortcourse.forwarding.load_messages import LoadMessage
from ragwortcourse.forwarding.reply import Refusal
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
    TargetName,
)

DOMAINS = ('a', 'b', 'c')
# Callers' requests of the three domains, as shares of all.
DOMAIN_SHARES = (135, 196, 149)
DAEMONS = 41
TARGETS = 20
# Prompt of a large request, as a multiple of the others.
LARGE = 10
LINK_SECONDS = 0.0054
HOP_SECONDS = 0.0005
PROFILE = EngineProfile(
    model=MODEL,
    slots=12,
    step=0.00927,
    step_per_request=0.0000232,
    prefill_rate=20_700,
    steps_per_pass=5,
    mean_prompt_tokens=943,
    mean_answer_tokens=95,
    layers=16,
    chunks=64,
    chunk_bytes=32_768,
)
# Requests a second, prompt tokens, answer tokens, objective.
KINDS = (
    (88.4, 1290, 105, 0.506),
    (64.4, 787, 105, 0.405),
    (61.4, 607, 70, 0.405),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class FleetDay:
    """What is played.

    :param load: requests a second, as a multiple of those of ``KINDS``.
    :param reports_pace: true if targets report their pace.
    :param slow_share: share of the time in which a target is slow.
    :param reports_until: seconds after which answers carry no loads.
    :param memory: tokens that an engine holds; zero: not known.
    :param large_share: share of the requests with a prompt that is ten times
        as long.
    :param target_domains: failure domains of the targets, in turn.
    """

    seed: int
    seconds: float = 20.0
    load: float = 1.0
    reports_pace: bool = True
    slow_share: float = 0.15
    reports_until: float = math.inf
    memory: int = 0
    large_share: float = 0
    target_domains: str = 'abc'


class UnevenFleet:
    """Daemons, engines and callers of one day."""

    def __init__(self, day: FleetDay) -> None:
        self.day = day
        self.outcomes: list[Outcome] = []
        self._rng = random.Random(day.seed)
        self.engines = {
            TargetName(f't-{number}'): UnevenEngine(
                profile=PROFILE,
                slow_share=day.slow_share,
                reports_pace=day.reports_pace,
                seed=day.seed * 1000 + number,
            )
            for number in range(TARGETS)
        }
        self.targets = {
            name: dataclasses.replace(
                make_target(name, slots=PROFILE.slots),
                failure_domain=FailureDomainName(domain),
                region=RegionName(domain),
            )
            for name, domain in zip(
                self.engines, itertools.cycle(day.target_domains), strict=False
            )
        }
        self.routes = [
            make_route(name=f'r-{number}', objective=objective)
            for number, (_, _, _, objective) in enumerate(KINDS)
        ]
        self.daemons = [self._make_daemon(each) for each in range(DAEMONS)]
        self.near = {
            domain: [
                each
                for each in self.daemons
                if each.settings.failure_domain == domain
            ]
            for domain in DOMAINS
        }

    async def play(self) -> list[Outcome]:
        """Play the day; return the outcomes after its first seconds."""
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                *(engine.run() for engine in self.engines.values()),
                *(self._send_news(each) for each in self.daemons),
            )
        ]
        rate = sum(kind[0] for kind in KINDS) * self.day.load
        while read_clock() < self.day.seconds:
            await asyncio.sleep(self._rng.expovariate(rate))
            self._call()
        await asyncio.sleep(2)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for each in self.outcomes:
            if each.target_name:
                engine = self.engines[TargetName(each.target_name)]
                each.most_held = engine.most_held
        return [each for each in self.outcomes if each.at > 3]

    def _make_daemon(self, number: int) -> Forwarder:
        state = FleetState(
            desired=DesiredState(
                version=1,
                routes={},
                services={
                    ENGINES: ServiceRules(
                        name=ENGINES,
                        engine=dataclasses.replace(
                            PROFILE, memory_tokens=self.day.memory
                        ),
                    )
                },
                accounts={},
            ),
            targets=dict(self.targets),
            targets_known=True,
        )
        domain = DOMAINS[number % 3]
        forwarder = make_forwarder(
            state,
            mock.Mock(),
            daemon=DaemonId(f'e-{number}'),
            failure_domain=FailureDomainName(domain),
            region=RegionName(domain),
        )
        forwarder.rng = random.Random(self.day.seed * 100 + number)
        forwarder.safeguards.retry_budget.daemons = DAEMONS
        return forwarder

    async def _send_news(self, sender: Forwarder) -> None:
        await asyncio.sleep(self._rng.random() * NEAR_SECONDS)
        turn = self._rng.randrange(FAR_ROUNDS)
        loop = asyncio.get_running_loop()
        while True:
            turn += 1
            is_far = turn % FAR_ROUNDS == 0
            message = LoadMessage(
                daemon=sender.settings.daemon,
                counts=sender.count_running(),
                paces=encode_news(
                    sender.balancing.paces,
                    now=read_clock(),
                    seconds=FAR_NEWS_SECONDS if is_far else NEAR_NEWS_SECONDS,
                ),
                excess=list_excess(sender),
            )
            own = sender.settings.failure_domain
            for each in self.daemons if is_far else self.near[own]:
                if each is not sender:
                    is_near = each.settings.failure_domain == own
                    loop.call_later(
                        HOP_SECONDS if is_near else LINK_SECONDS,
                        _take_news,
                        each,
                        message,
                    )
            await asyncio.sleep(NEAR_SECONDS)

    def _call(self) -> None:
        rng, now = self._rng, read_clock()
        index = rng.choices(range(3), weights=[kind[0] for kind in KINDS])[0]
        _, prompt, answer, _ = KINDS[index]
        domain = rng.choices(DOMAINS, weights=DOMAIN_SHARES)[0]
        daemon = rng.choice(self.near[domain])
        prompt = max(int(rng.gauss(prompt, prompt / 4)), 20)
        answer = max(int(rng.gauss(answer, answer / 4)), 10)
        if rng.random() < self.day.large_share:
            prompt *= LARGE
        outcome = Outcome(domain=domain, route=self.routes[index], at=now)
        self.outcomes.append(outcome)
        call = make_call(
            prompt_tokens=prompt, answer_tokens=answer, arrived_at=now
        )
        work = PermittedCall(
            call=call,
            route=outcome.route,
            account=None,
            body=b'',
            deadline=now + 6,
        )
        chosen = choose_target(daemon, work, ENGINES, ())
        if not isinstance(chosen, Refusal):
            outcome.target_name = chosen.name
            outcome.target_domain = chosen.failure_domain
            tokens = read_tokens(daemon, call, ENGINES)
            self._send(daemon, chosen, outcome, call, tokens)

    def _send(
        self,
        daemon: Forwarder,
        target: Target,
        outcome: Outcome,
        call: Call,
        tokens: float,
    ) -> None:
        loop, load = asyncio.get_running_loop(), daemon.find_load(target)
        engine = self.engines[target.name]
        load.count_sent(read_clock(), tokens)
        is_near = target.failure_domain == daemon.settings.failure_domain
        link = HOP_SECONDS if is_near else LINK_SECONDS
        last = [0.0]

        def take_event(report: ReportedLoad | None, is_last: bool) -> None:
            now = read_clock()
            load.note_sign(now)
            if report is not None:
                if now < self.day.reports_until:
                    load.note_load(report, now)
                    daemon.balancing.paces.note_report(target, report, now)
                load.count_answer_begun()
                outcome.first = now - outcome.at
            else:
                outcome.pause = max(outcome.pause, now - last[0])
            last[0] = now
            if is_last:
                load.count_ended(tokens)

        job = EngineJob(
            prompt=call.prompt_tokens,
            answer=call.answer_tokens,
            notify=lambda *event: loop.call_later(link, take_event, *event),
        )
        loop.call_later(link, engine.add, job)


def _take_news(daemon: Forwarder, message: LoadMessage) -> None:
    daemon.note_counts(message.daemon, message.counts)
    note_excess(daemon, message)
    note_news(daemon.balancing.paces, message.paces, read_clock())


def play_day(day: FleetDay) -> list[Outcome]:
    """Play a day in virtual time."""

    async def play() -> list[Outcome]:
        return await UnevenFleet(day).play()

    return run_in_virtual_time(play())
