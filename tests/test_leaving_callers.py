"""Requests whose callers leave when their time is up."""

import asyncio
import contextlib
import logging

import pytest

from fakes.fleet_parts import (
    CHARGE,
    KEY,
    LOOKUP,
    make_desired,
    make_forwarder,
    make_plain,
    make_route,
    make_state,
    make_target,
)
from fakes.fleet_target import FleetTarget, answer_whole, begin_with
from fakes.memory_ports import MemoryPorts, use_memory_ports
from fakes.raw_caller import RawCaller
from fakes.virtual_clocks import follow_loop
from ragwortcourse.forwarding.calls import build_call_routes
from ragwortcourse.forwarding.exchange import open_target_session
from ragwortcourse.processes.sites import open_site
from tests.test_forwarding import CHARGED, LETTER, LOOK, decline, fail, hang
from tests.test_silent_targets import pause_before, pause_within

pytestmark = pytest.mark.looptime

PORT = 1001
# One way between a caller and the daemon.
TRANSIT = 0.01
# Gap after which callers abandon a stream.
LONGEST_GAP = 2.0
# Longer than the callers of these tests wait.
ROUTES = [
    make_route(time_limit=4.0, objective=0.5, longest_gap=0.2),
    *(
        make_route(
            name=each.name,
            prefix=each.prefix,
            kind=each.kind,
            services=each.services,
            max_tries=each.max_tries,
            resumable=False,
            time_limit=4.0,
        )
        for each in (LOOKUP, CHARGE)
    ),
]


class Desk:
    """Forwarder and targets whose callers leave when their time is up."""

    def __init__(self) -> None:
        self.targets: list[FleetTarget] = []
        self.stack = contextlib.AsyncExitStack()

    async def open(self, *scripts, plain: bool = True) -> None:
        """Start a target for each script, and the forwarder."""
        self.stack.enter_context(
            use_memory_ports(
                asyncio.get_running_loop(), MemoryPorts(transit=TRANSIT)
            )
        )
        self.stack.enter_context(follow_loop())
        make = make_plain if plain else make_target
        for script in scripts:
            target = FleetTarget(script)
            await target.start()
            self.stack.push_async_callback(target.stop)
            self.targets.append(target)
        state = make_state(
            *(
                make(f't-{number}', address=target.address)
                for number, target in enumerate(self.targets)
            )
        )
        state.desired = make_desired(*ROUTES)
        session = await self.stack.enter_async_context(open_target_session())
        self.forwarder = make_forwarder(state, session)
        runner = await open_site(
            address=f'127.0.0.1:{PORT}',
            routes=build_call_routes(self.forwarder),
        )
        self.stack.push_async_callback(runner.cleanup)

    async def ask(self, path: str, seconds: float, *, left: float = 2.0):
        """Ask, and leave when the time is up; return the reply, if any.

        :param seconds: time that the caller names.
        :param left: time after which it leaves.
        """
        caller = RawCaller(port=PORT)
        await caller.open()
        headers = {
            'Host': 'desk.example',
            'Authorization': f'Bearer {KEY}',
            'Ragwortcourse-Attempt-Id': 'a1',
            'Ragwortcourse-Deadline-Ms': str(round(seconds * 1000)),
        }
        try:
            async with asyncio.timeout(min(seconds, left)):
                return await caller.ask(path, headers.items(), [(0, b'body')])
        except TimeoutError:
            return None
        finally:
            caller.close()
            await asyncio.sleep(2 * TRANSIT)

    @property
    def runs(self) -> int:
        """Number of requests that reached any target."""
        return sum(len(target.received) for target in self.targets)


@pytest.fixture
async def desk():
    """Forwarder that is closed after the test."""
    opened = Desk()
    async with opened.stack:
        yield opened


class TestSilentTargets:
    """Requests whose targets stand still until the callers' time is up."""

    @pytest.mark.parametrize('path', [LOOK, CHARGED, LETTER])
    async def test_caller_leaves_without_an_answer(self, desk, path):
        """The caller hears 504 before it leaves.

        It left some milliseconds before the answer, and the target ran the
        request after that.
        """
        await desk.open(hang, hang, plain=path != LETTER)
        reply = await desk.ask(path, 1.5)
        assert reply is not None
        assert reply.status == 504
        assert reply.ended_at - reply.began_at > 1.4

    async def test_caller_leaves_a_begun_stream(self, desk):
        """The caller hears that a stream broke off before it leaves."""
        await desk.open(pause_within(seconds=30), plain=False)
        reply = await desk.ask(LETTER, 1.5)
        assert reply is not None
        assert reply.status == 200
        assert not reply.is_whole

    async def test_caller_leaves_before_the_first_event(self, desk):
        """The caller hears 504 before it abandons a stream without events.

        Callers do so long before their time limit.
        """
        await desk.open(hang, hang, plain=False)
        reply = await desk.ask(LETTER, 3.9, left=LONGEST_GAP)
        assert reply is not None
        assert reply.status == 504
        assert reply.ended_at - reply.began_at > LONGEST_GAP - 0.1

    async def test_caller_leaves_after_an_event(self, desk):
        """The caller hears that a begun stream broke off, too."""
        await desk.open(pause_within(seconds=30), plain=False)
        reply = await desk.ask(LETTER, 3.9, left=LONGEST_GAP + 3 * TRANSIT)
        assert reply is not None
        assert not reply.is_whole
        assert reply.ended_at - reply.began_at > LONGEST_GAP - 0.1

    async def test_event_before_the_caller_leaves(self, desk):
        """A stream whose gaps are shorter goes on, however long they are."""
        script = pause_before(LONGEST_GAP - 0.2, pause_within(1.8))
        await desk.open(script, plain=False)
        reply = await desk.ask(LETTER, 3.9, left=3.9)
        assert reply is not None
        assert reply.is_whole

    async def test_answer_just_in_time(self, desk):
        """An answer that is ready before that is delivered."""
        await desk.open(pause_before(1.4, answer_whole))
        reply = await desk.ask(LOOK, 1.5)
        assert reply is not None
        assert reply.status == 200

    async def test_time_limit_of_the_route(self, desk):
        """The time limit of the route is not shortened."""
        await desk.open(hang)
        reply = await desk.ask(LOOK, 6.0, left=5.0)
        assert reply is not None
        assert reply.status == 504
        assert reply.ended_at - reply.began_at >= 4.0


class TestFailureBesideSilentTarget:
    """Requests that one target failed while another one stays silent."""

    @pytest.mark.parametrize('path', [LOOK, LETTER])
    async def test_known_failure_is_replaced(self, desk, path):
        """The caller gets the failure when its time is up, not 504."""
        script = begin_with(hang, fail)
        await desk.open(script, script, plain=path != LETTER)
        reply = await desk.ask(path, 1.9)
        assert desk.runs == 2
        assert reply is not None
        assert reply.status == 500
        assert reply.body == b'broken'
        assert reply.headers['ragwortcourse-server-stamp'] == 'stamp'

    async def test_begun_stream(self, desk):
        """A stream of which the caller has a part ends without the failure."""
        script = begin_with(pause_within(seconds=30), fail)
        await desk.open(script, script, plain=False)
        reply = await desk.ask(LETTER, 1.9)
        assert desk.runs == 2
        assert reply is not None
        assert reply.status == 200
        assert not reply.is_whole
        assert b'broken' not in reply.body

    async def test_silent_target_answers(self, desk):
        """An answer that comes after the failure is delivered."""
        script = begin_with(pause_before(1.6, answer_whole), fail)
        await desk.open(script, script)
        reply = await desk.ask(LOOK, 1.9)
        assert reply is not None
        assert reply.status == 200


class TestNotSent:
    """Requests whose time is up before a target gets them."""

    async def test_no_time_left(self, desk):
        """A request that can't be answered in time is sent to no target."""
        await desk.open(answer_whole)
        reply = await desk.ask(CHARGED, 0.04, left=1.0)
        assert reply is not None
        assert reply.status == 503
        assert not desk.runs

    async def test_waits_for_a_place(self, desk):
        """A request that waited for a place all the time has not run."""
        await desk.open(answer_whole)
        for target in desk.forwarder.state.targets.values():
            for _ in range(20):
                desk.forwarder.find_load(target).count_sent(0)
        # The caller counts as late, and may wait.
        desk.forwarder.caller_timeouts.is_first_try('charges', 4.0)
        reply = await desk.ask(CHARGED, 0.5)
        assert reply is not None
        assert reply.status == 503
        assert not desk.runs


LEFT = 'caller left before its answer'


@pytest.fixture
def lines(caplog):
    """Fields of the log lines about callers that left."""
    caplog.set_level(logging.INFO, logger='ragwortcourse.forwarding')

    def find() -> list[dict[str, object]]:
        return [vars(each) for each in caplog.records if each.message == LEFT]

    return find


class TestLines:
    """Log lines about callers that leave before their answer."""

    async def test_target_hangs(self, desk, lines):
        """The line tells for what the caller waited, and how long."""
        await desk.open(hang, hang)
        assert await desk.ask(LOOK, 3.0, left=1.0) is None
        (line,) = lines()
        assert line['request'] == 'a1'
        assert line['waited_for'] == 'answer of a target'
        assert line['waited_seconds'] == pytest.approx(1.0, abs=0.03)
        assert line['seconds'] == pytest.approx(1.0, abs=0.03)
        assert line['runs'] == 1

    async def test_what_targets_said(self, desk, lines):
        """The line tells what each target had said."""
        script = begin_with(decline, hang)
        await desk.open(script, script)
        assert await desk.ask(LOOK, 3.0, left=1.0) is None
        (line,) = lines()
        assert [line['said'][each] for each in line['targets']] == [
            'target did not run the request, status 503',
            'nothing',
        ]

    async def test_silent_target(self, desk, lines):
        """The line tells which target was silent."""
        await desk.open(hang, plain=False)
        assert await desk.ask(LETTER, 3.0, left=1.8) is None
        (line,) = lines()
        assert line['targets'] == ['t-0']
        assert line['said']['t-0'].startswith('target is silent, for 1.2')

    async def test_begun_stream(self, desk, lines):
        """The line tells that the caller had part of its stream."""
        await desk.open(pause_within(seconds=30), plain=False)
        assert await desk.ask(LETTER, 3.0, left=0.5) is None
        (line,) = lines()
        assert line['waited_for'] == 'rest of the answer'
        assert line['waited_seconds'] == pytest.approx(0.45, abs=0.05)

    async def test_body(self, desk, lines):
        """A caller that leaves amid its request is logged, too."""
        await desk.open(answer_whole)
        caller = RawCaller(port=PORT)
        await caller.open()
        headers = [
            ('Host', 'desk.example'),
            ('Authorization', f'Bearer {KEY}'),
            ('Ragwortcourse-Attempt-Id', 'a1'),
        ]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await caller.ask(LOOK, headers, [(0, b'bo'), (9, b'dy')])
        caller.close()
        await asyncio.sleep(2 * TRANSIT)
        (line,) = lines()
        assert line['waited_for'] == 'rest of the request'
        assert not line['targets']
        assert not desk.runs

    async def test_place(self, desk, lines):
        """The line tells that no target got the request."""
        await desk.open(answer_whole)
        (target,) = desk.forwarder.state.targets.values()
        for _ in range(20):
            desk.forwarder.find_load(target).count_sent(0)
        # The caller counts as late, and may wait.
        desk.forwarder.caller_timeouts.is_first_try('charges', 9.0)
        assert await desk.ask(CHARGED, 3.0, left=0.3) is None
        (line,) = lines()
        assert line['waited_for'] == 'place at a target'
        assert line['targets'] == []

    async def test_answered(self, desk, lines):
        """No such line is written of a caller with an answer."""
        await desk.open(answer_whole)
        assert (await desk.ask(LOOK, 3.0)).status == 200
        assert not lines()
