"""Daemons in virtual time whose callers compete for a few engines.

The daemons choose, wait and exchange messages as in production; engines and
callers are simulated.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import math
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final
from unittest import mock

from fakes.contended_answer import ContendedAnswer
from fakes.contended_callers import Callers, Outcomes
from fakes.contended_engine import ContendedEngine
from fakes.fleet_parts import (
    ENGINES,
    FAR_DOMAIN,
    MODEL,
    NEAR_DOMAIN,
    REGIONS,
    SAME_REGION,
    make_call,
    make_desired,
    make_forwarder,
    make_state,
    make_target,
)
from fakes.virtual_clocks import run_in_virtual_time
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding import try_lane
from ragwortcourse.forwarding.call import PermittedCall
from ragwortcourse.forwarding.caller_timeouts import find_longest_gap
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.exchange import OpenAnswer
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_exchange import LoadReceiver, send_rounds
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.reply import Refusal
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.forwarding.tries import Tries
from ragwortcourse.forwarding.try_lane import TryLane
from ragwortcourse.forwarding.wire_format import Dispatch
from ragwortcourse.identifiers import Address, AttemptId, DaemonId, TargetName
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.settings import ListenSettings

DOMAINS: Final = (NEAR_DOMAIN, SAME_REGION, FAR_DOMAIN)
SLOTS: Final = 12
PROFILE: Final = EngineProfile(
    model=MODEL,
    slots=SLOTS,
    step=0.0074,
    step_per_request=0.0000387,
    prefill_rate=31_900,
    steps_per_pass=7,
    mean_prompt_tokens=920,
    mean_answer_tokens=117,
    layers=16,
    chunks=96,
    chunk_bytes=24_576,
)
TRANSIT_SECONDS: Final = 0.003
CALLER_SECONDS: Final = 6.0
HONOURED_SHARE: Final = 1 / 3


class ContendedFleet:
    """Forwarders with simulated engines and callers.

    :param hears: tells whether a message between two daemons arrives.
    """

    def __init__(
        self,
        callers: Sequence[Callers],
        *,
        daemons: int = 41,
        engines: int = 17,
        seed: int = 1,
        hears: Callable[[int, int], object] = lambda sender, receiver: True,
        registered: int | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.callers = callers
        self.outcomes = {each.route.name: Outcomes() for each in callers}
        self.engines = {
            TargetName(f't-{number}'): ContendedEngine(
                slots=SLOTS, rng=self.rng
            )
            for number in range(engines)
        }
        self._hears = hears
        self._targets = [
            make_target(name, failure_domain=DOMAINS[number % 3], slots=SLOTS)
            for number, name in enumerate(self.engines)
        ]
        self.relays = [
            RelayRecord(
                daemon=DaemonId(f'e-{number}'),
                address=Address(f'127.0.0.1:{7000 + number}'),
                failure_domain=DOMAINS[number % 3],
                region=REGIONS[DOMAINS[number % 3]],
            )
            for number in range(registered or daemons)
        ]
        self.forwarders: list[Forwarder] = [
            self._make_forwarder(relay) for relay in self.relays[:daemons]
        ]
        self.alive = list(range(daemons))
        self.rounds: list[asyncio.Future[None]] = []
        self._attempts = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    def _make_forwarder(self, relay: RelayRecord) -> Forwarder:
        state = make_state(*self._targets)
        # The store confirms the state during the whole run.
        state.confirmed_at = math.inf
        desired = make_desired(*(each.route for each in self.callers))
        state.desired = dataclasses.replace(
            desired,
            services={ENGINES: ServiceRules(name=ENGINES, engine=PROFILE)},
        )
        forwarder = make_forwarder(
            state,
            mock.Mock(closed=False),
            daemon=relay.daemon,
            failure_domain=relay.failure_domain,
            region=relay.region,
            listen=ListenSettings(
                peers=relay.address, watch='127.0.0.1:1', callers='127.0.0.1:2'
            ),
        )
        forwarder.rng = random.Random(self.rng.random())
        for target in self._targets:
            forwarder.find_load(target).unavailable_until = -10
        return forwarder

    async def run(
        self,
        seconds: float,
        watch: Callable[['ContendedFleet'], Coroutine[Any, Any, None]],
    ) -> None:
        """Run the fleet, its callers and ``watch`` for some seconds."""
        with mock.patch.object(try_lane, 'send_request', self._send_request):
            receivers = [
                LoadReceiver(forwarder=forwarder)
                for forwarder in self.forwarders
            ]
            self.rounds = [
                asyncio.ensure_future(self._exchange(number, receivers))
                for number in range(len(self.forwarders))
            ]
            for each in self.callers:
                self._start(self._call_for(each, read_clock() + seconds))
            self._start(watch(self))
            await asyncio.sleep(seconds)
            for task in (*self._tasks, *self.rounds):
                task.cancel()
            await asyncio.gather(
                *self._tasks, *self.rounds, return_exceptions=True
            )

    def _start(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(
        self, number: int, receivers: list[LoadReceiver]
    ) -> None:
        await asyncio.sleep(self.rng.uniform(0, 0.4))
        loop = asyncio.get_running_loop()
        by_address = {
            relay.address: index for index, relay in enumerate(self.relays)
        }

        def send(content: bytes, address: str) -> None:
            index = by_address[Address(address)]
            if index in self.alive and self._hears(number, index):
                loop.call_later(
                    TRANSIT_SECONDS,
                    receivers[index].datagram_received,
                    content,
                    ('127.0.0.1', 1),
                )

        async def list_relays() -> list[RelayRecord]:
            return self.relays

        await send_rounds(
            forwarder=self.forwarders[number],
            receiver=receivers[number],
            send=send,
            list_relays=list_relays,
        )

    async def _call_for(self, callers: Callers, ends_at: float) -> None:
        began_at = read_clock()
        await asyncio.sleep(callers.begins)
        while read_clock() < min(ends_at, began_at + callers.ends):
            await asyncio.sleep(self.rng.expovariate(callers.rate))
            self._start(self._call(callers))

    async def _call(self, callers: Callers) -> None:
        began_at = read_clock()
        limit = CALLER_SECONDS * self.rng.uniform(0.93, 1.07)
        outcomes = self.outcomes[callers.route.name]
        for is_last in (False, True):
            left = began_at + limit - read_clock()
            asked_at = read_clock()
            result = await self._ask(callers, left)
            if not isinstance(result, Refusal) and result is not None:
                is_timely = result - began_at <= callers.route.objective
                outcomes.counts['timely' if is_timely else 'late'] += 1
                outcomes.value += callers.value[not is_timely]
                return
            held = read_clock() - asked_at
            if held > callers.route.objective / 8:
                outcomes.held_in_vain.append(held)
            left = began_at + limit - read_clock()
            if is_last or result is None or result.retry_after is None:
                break
            await asyncio.sleep(min(result.retry_after, left * HONOURED_SHARE))
        outcomes.counts['unserved'] += 1

    async def _ask(self, callers: Callers, left: float) -> Any:
        forwarder = self.forwarders[self.rng.choice(self.alive)]
        call = make_call(
            attempt=AttemptId(f'a{next(self._attempts)}'),
            path=callers.route.prefix,
            time_left=left,
            prompt_tokens=callers.prompt_tokens,
            arrived_at=read_clock(),
        )
        work = PermittedCall(
            call=call,
            route=callers.route,
            account=None,
            body=b'',
            deadline=read_clock() + left - 0.05,
        )
        if forwarder.closing:
            return Refusal(reason='closing', retry_after=0.01)  # type: ignore[arg-type]
        gap = find_longest_gap(callers.route)
        tries = Tries(forwarder=forwarder, work=work)
        lane = TryLane(tries=tries, patience=10)
        try:
            async with asyncio.timeout(min(gap, left)):
                opened = await lane.open(None)
        except TimeoutError:
            return None
        answer = opened.answer if isinstance(opened, OpenTry) else None
        if isinstance(opened, OpenTry) and isinstance(answer, ContendedAnswer):
            opened.note_piece(read_clock())
            self._start(self._finish(lane, opened, answer.seconds_left))
            return read_clock()
        return tries.give_up(opened)  # type: ignore[arg-type]

    async def _finish(
        self, lane: TryLane, opened: OpenTry, seconds_left: float
    ) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(seconds_left)
        lane.end(opened)

    async def _send_request(
        self, *, work: PermittedCall, dispatch: Dispatch, **_: Any
    ) -> OpenAnswer:
        engine = self.engines[dispatch.target.name]
        reading = work.call.prompt_tokens / PROFILE.prefill_rate
        left = await engine.begin(
            dispatch.rank or 0, reading + 0.055 * self.rng.uniform(1, 2)
        )
        return (
            ContendedAnswer(503, 0)
            if left is None
            else ContendedAnswer(200, left)
        )


async def do_nothing(fleet: ContendedFleet) -> None:
    """Watch nothing."""


def replay(
    seconds: float,
    callers: Sequence[Callers],
    watch: Callable[[ContendedFleet], Coroutine[Any, Any, None]] = do_nothing,
    **changes: Any,
) -> ContendedFleet:
    """Run a fleet in virtual time."""

    async def run() -> ContendedFleet:
        fleet = ContendedFleet(callers, **changes)
        await fleet.run(seconds, watch)
        return fleet

    return run_in_virtual_time(run())
