"""Requests that were lost as their sound targets were silent for a moment."""

import asyncio
import dataclasses

import aiohttp
import pytest

from fakes.fleet_parts import LOOKUP, NEAR_DOMAIN, make_route
from fakes.fleet_target import (
    Received,
    Script,
    ScriptedConnection,
    answer_whole,
    begin_with,
)
from ragwortcourse.forwarding import try_lane
from ragwortcourse.forwarding.choice import choose_target
from tests.test_forwarding import (
    EVENTS,
    LETTER,
    LOOK,
    Fleet,
    begin_stream,
    cut,
    decline,
    fail,
    hang,
    stream_all,
    stream_until,
)

# Longer than the daemon waits before it asks another target.
PAUSE = 1.4


def pause_within(seconds: float = PAUSE) -> Script:
    """Build a script of a stream that pauses after two events and goes on."""

    async def script(
        received: Received, connection: ScriptedConnection
    ) -> None:
        await begin_stream(received, connection)
        await connection.send_events(0, 2)
        await asyncio.sleep(seconds)
        await connection.send_events(2, 6)
        await connection.send(b'0\r\n\r\n')

    return script


def pause_before(seconds: float, script: Script) -> Script:
    """Build a script that begins after a pause."""

    async def paused(
        received: Received, connection: ScriptedConnection
    ) -> None:
        await asyncio.sleep(seconds)
        await script(received, connection)

    return paused


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = Fleet()
    async with opened.stack:
        yield opened


def spend_budget(fleet: Fleet) -> None:
    """Leave no retry in the budget."""
    while fleet.forwarder.safeguards.retry_budget.try_spend():
        pass


async def read_stream(fleet: Fleet) -> str:
    """Read a whole stream, as its caller sees it."""
    return await (await fleet.ask(LETTER)).text()


class TestStreamGivenUpBeforeAnotherTargetHasIt:
    """Streams whose target pauses while no other target can go on."""

    async def test_no_other_target(self, fleet):
        """The only target goes on after its pause."""
        await fleet.open([pause_within()])
        assert await read_stream(fleet) == EVENTS

    async def test_other_target_declines(self, fleet):
        """All others decline the stream."""
        script = begin_with(pause_within(), decline)
        await fleet.open([script], [script], [script])
        assert await read_stream(fleet) == EVENTS

    @pytest.mark.parametrize('other', [cut, hang, fail, stream_until(0)])
    async def test_other_target_fails(self, fleet, other):
        """The other target breaks off, is silent as well, or fails."""
        script = begin_with(pause_within(), other)
        await fleet.open([script], [script])
        assert await read_stream(fleet) == EVENTS
        assert fleet.runs == 2

    async def test_no_retry_budget(self, fleet):
        """The budget for retries is spent."""
        script = begin_with(pause_within(), stream_all)
        await fleet.open([script], [script])
        spend_budget(fleet)
        assert await read_stream(fleet) == EVENTS
        assert fleet.runs == 1

    async def test_withdrawn_domain(self, fleet):
        """The failure domain of all targets is withdrawn meanwhile."""
        script = begin_with(pause_within(), stream_all)
        await fleet.open([script], [script])
        asked = asyncio.ensure_future(read_stream(fleet))
        await asyncio.sleep(0.3)
        fleet.state.withdrawn = {NEAR_DOMAIN: 1}
        assert await asked == EVENTS
        assert fleet.runs == 1

    async def test_service_removed(self, fleet):
        """The service and the route are removed meanwhile."""
        script = begin_with(pause_within(), stream_all)
        await fleet.open([script], [script])
        asked = asyncio.ensure_future(read_stream(fleet))
        await asyncio.sleep(0.3)
        desired = fleet.state.desired
        fleet.state.desired = dataclasses.replace(
            desired, version=2, routes={}, services={}
        )
        assert await asked == EVENTS

    async def test_first_event(self, fleet):
        """The only target begins after a pause."""
        await fleet.open([pause_before(1.6, stream_all)])
        assert await read_stream(fleet) == EVENTS
        assert fleet.runs == 1

    async def test_first_event_while_another_declines(self, fleet):
        """One target begins after a pause, and the other declines."""
        script = begin_with(pause_before(1.6, stream_all), decline)
        await fleet.open([script], [script])
        assert await read_stream(fleet) == EVENTS


class TestStreamAskedElsewhere:
    """Streams whose next event comes from the first target that has it."""

    async def test_other_target_is_sooner(self, fleet):
        """The other target goes on, and the silent one is let go."""
        script = begin_with(pause_within(seconds=5), stream_all)
        await fleet.open([script], [script])
        assert await read_stream(fleet) == EVENTS
        await asyncio.sleep(0.05)
        assert sum(target.abandoned for target in fleet.targets) == 1

    async def test_first_target_is_sooner(self, fleet):
        """The first target goes on, and the other one is let go."""
        script = begin_with(
            pause_within(seconds=1.8), pause_before(2, stream_all)
        )
        await fleet.open([script], [script])
        assert await read_stream(fleet) == EVENTS
        await asyncio.sleep(0.05)
        assert sum(target.abandoned for target in fleet.targets) == 1
        load = [fleet.forwarder.find_load(each) for each in fleet.listed]
        assert [each.own for each in load] == [0, 0]
        assert [each.unanswered for each in load] == [0, 0]

    async def test_silent_target_breaks_off(self, fleet):
        """The stream goes on at the other target, which was asked before."""

        async def break_off(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await begin_stream(received, connection)
            await connection.send_events(0, 2)
            await asyncio.sleep(1.2)
            connection.reset()

        script = begin_with(break_off, pause_before(0.6, stream_all))
        await fleet.open([script], [script])
        assert await read_stream(fleet) == EVENTS
        assert fleet.runs == 2

    @pytest.mark.parametrize('end', [decline, cut])
    async def test_silent_target_ends_late(self, fleet, end):
        """No third target gets a stream that the second one has just got."""
        script = begin_with(pause_before(1.6, end), pause_before(1, stream_all))
        await fleet.open([script], [script], [script])
        fleet.set_routes(make_route(max_tries=3))
        assert await read_stream(fleet) == EVENTS
        assert fleet.runs == 2

    async def test_broken_stream_declined_late(self, fleet):
        """A target that declines after a silence has not crashed."""
        late = begin_with(pause_before(1.3, decline), stream_all)
        script = begin_with(stream_until(2), late)
        await fleet.open([script], [script], [script])
        fleet.set_routes(make_route(max_tries=3))
        assert await read_stream(fleet) == EVENTS
        assert fleet.runs == 3

    async def test_full_targets_are_not_asked(self, fleet):
        """A silent stream does not go where it would take a place.

        Half of the targets are silent for a moment; their streams would all
        go to the other half, and be late at both.
        """
        script = begin_with(pause_within(seconds=1.3), stream_all)
        await fleet.open([script], [script])
        asked = asyncio.ensure_future(read_stream(fleet))
        await asyncio.sleep(0.3)
        for target in fleet.listed:
            load = fleet.forwarder.find_load(target)
            if not load.own:
                for _ in range(target.slots):
                    load.count_sent(0)
        assert await asked == EVENTS
        assert fleet.runs == 1

    async def test_gone_target_has_a_full_one_asked(self, fleet):
        """A stream of a target that left the list goes on at any other."""
        script = begin_with(pause_within(seconds=30), stream_all)
        await fleet.open([script], [script])
        asked = asyncio.ensure_future(read_stream(fleet))
        await asyncio.sleep(0.3)
        for target in fleet.listed:
            load = fleet.forwarder.find_load(target)
            if load.own:
                fleet.state.targets.pop(target.name)
            else:
                for _ in range(target.slots):
                    load.count_sent(0)
        assert await asked == EVENTS


class TestErrorBesideSilentTarget:
    """Streams for which asking another target raises an error."""

    @pytest.mark.parametrize(
        'script', [pause_within(), pause_before(1.6, stream_all)]
    )
    async def test_silent_target_goes_on(
        self, fleet, monkeypatch, caplog, script
    ):
        """The error is logged, and the silent target serves the caller."""

        def choose(forwarder, work, service, tried, silence):
            if silence is not None:
                raise ValueError('not a target')
            return choose_target(forwarder, work, service, tried)

        monkeypatch.setattr(try_lane, 'choose_target', choose)
        await fleet.open([script], [script])
        assert await read_stream(fleet) == EVENTS
        assert 'lane of a request failed' in caplog.text


class TestLookUpGivenUpBeforeAnotherTargetAnswers:
    """Look-ups whose target answers late, but within their time limit."""

    async def test_other_target_hangs(self, fleet):
        """The first target answers although the other never does."""
        script = begin_with(pause_before(0.6, answer_whole), hang)
        await fleet.open([script], [script], plain=True)
        response = await fleet.ask(LOOK)
        assert response.status == 200
        assert fleet.runs == 2

    @pytest.mark.parametrize('other', [cut, fail, decline])
    async def test_other_target_fails(self, fleet, other):
        """The first target answers although the other one fails."""
        script = begin_with(pause_before(0.6, answer_whole), other)
        await fleet.open([script], [script], plain=True)
        assert (await fleet.ask(LOOK)).status == 200

    async def test_no_other_target(self, fleet):
        """The only target answers in the second half of the time."""
        await fleet.open([pause_before(0.6, answer_whole)], plain=True)
        assert (await fleet.ask(LOOK)).status == 200

    async def test_no_retry_budget(self, fleet):
        """The budget for retries is spent."""
        script = begin_with(pause_before(0.6, answer_whole), answer_whole)
        await fleet.open([script], [script], plain=True)
        spend_budget(fleet)
        assert (await fleet.ask(LOOK)).status == 200

    async def test_other_target_is_sooner(self, fleet):
        """The other target answers, and the silent one is let go."""
        script = begin_with(hang, answer_whole)
        await fleet.open([script], [script], plain=True)
        fleet.set_routes(dataclasses.replace(LOOKUP, time_limit=0.6))
        assert (await fleet.ask(LOOK)).status == 200
        await asyncio.sleep(0.05)
        assert sum(target.abandoned for target in fleet.targets) == 1


class TestTimeLimit:
    """Requests whose targets stay silent."""

    async def test_stream(self, fleet):
        """A silent stream is aborted at its time limit, not before."""
        await fleet.open([pause_within(seconds=30)], [hang])
        fleet.set_routes(make_route(time_limit=2.4))
        began_at = asyncio.get_running_loop().time()
        with pytest.raises(aiohttp.ClientError):
            await fleet.ask(LETTER)
        assert asyncio.get_running_loop().time() - began_at >= 2.4

    async def test_look_up(self, fleet):
        """A look-up without an answer gets 504 at its time limit."""
        await fleet.open([hang], [hang], plain=True)
        response = await fleet.ask(LOOK)
        assert response.status == 504
        load = [fleet.forwarder.find_load(each) for each in fleet.listed]
        assert [each.own for each in load] == [0, 0]

    async def test_target_that_just_sent_an_event(self, fleet, caplog):
        """A target that still sends at the time limit is not silent."""

        async def write_on(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await begin_stream(received, connection)
            for number in range(100):
                await connection.send_events(number, number + 1)
                await asyncio.sleep(0.1)

        caplog.set_level('INFO')
        await fleet.open([write_on])
        fleet.set_routes(make_route(time_limit=1.3))
        with pytest.raises(aiohttp.ClientError):
            await fleet.ask(LETTER)
        assert 'target is silent' not in caplog.text


class TestLostAfterSilence:
    """Streams whose target pauses, and breaks off later."""

    def break_off(self) -> Script:
        """Build a script of a stream that pauses, goes on and is reset."""

        async def script(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await begin_stream(received, connection)
            await connection.send_events(0, 2)
            await asyncio.sleep(2.4)
            await connection.send_events(2, 4)
            await asyncio.sleep(0.05)
            connection.reset()

        return script

    async def test_targets_that_declined_meanwhile(self, fleet):
        """A target is left to go on, though many declined in the pause."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()

        async def decline_at_first(
            received: Received, connection: ScriptedConnection
        ) -> None:
            is_full = loop.time() < began_at + 2.4
            await (decline if is_full else stream_all)(received, connection)

        script = begin_with(self.break_off(), decline_at_first)
        await fleet.open(*[[script]] * 8)
        assert await read_stream(fleet) == EVENTS

    async def test_retries_spent_on_silent_targets(self, fleet):
        """Enough retries are left for a request whose target is lost."""
        script = begin_with(self.break_off(), stream_all)
        await fleet.open([script], [script])
        budget = fleet.forwarder.safeguards.retry_budget
        while budget.try_spend(share=0.5):
            pass
        asked = asyncio.ensure_future(read_stream(fleet))
        await asyncio.sleep(2)
        assert fleet.runs == 1
        assert await asked == EVENTS
        assert fleet.runs == 2
