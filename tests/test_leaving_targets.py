"""Tests of targets that say in their answers that they leave."""

import asyncio
import dataclasses
import random

import msgspec
import pytest
from multidict import CIMultiDict

from fakes.fleet_parts import make_forwarder, make_plain, make_state
from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import ForwarderFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.departure_exchange import (
    DepartureMessage,
    build_departure_sender,
    note_departures,
)
from ragwortcourse.forwarding.fleet_updates import note_departure
from ragwortcourse.forwarding.target_departures import (
    DEPARTURES_LIMIT,
    Departure,
    TargetDepartures,
)
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.forwarding.target_statements import note_statements
from ragwortcourse.identifiers import AttemptId, DaemonId, TargetName
from ragwortcourse.platform.wire import read_head

LEAVER = 't-0'
# Bound of the users on requests after an answer that says it.
DRAIN_SECONDS = 2.0


class LeavingTarget:
    """Answers of targets of which one leaves from some time on.

    The row of that target does not change.
    """

    def __init__(self) -> None:
        self.leaves = False
        self.told_at: float | None = None

    async def answer(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        """Answer at once."""
        name = received.headers['ragwortcourse-expect-instance']
        if name != LEAVER or not self.leaves:
            await connection.answer(received)
            return
        self.told_at = self.told_at or read_clock()
        await connection.answer(received, server_leaving='1')


def count_arrivals(fleet: ForwarderFleet, *, after: float) -> int:
    """Count the arrivals at the leaving target later than a time."""
    return sum(
        arrival.target == LEAVER and arrival.at > after
        for arrival in fleet.arrivals
    )


class TestLeavingTarget:
    """A target that leaves and says so in its answers alone."""

    async def test_leaving_target_gets_requests(self):
        """A daemon that passed on such an answer sends nothing more."""
        target = LeavingTarget()
        fleet = ForwarderFleet(answer=target.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=6, forwarders=1)
            asked = asyncio.ensure_future(
                fleet.send_steadily(b'look', every=0.04, seconds=6)
            )
            await asyncio.sleep(1)
            target.leaves = True
            statuses = await asked
        assert target.told_at is not None
        told_until = target.told_at + DRAIN_SECONDS
        assert count_arrivals(fleet, after=told_until) == 0
        assert set(statuses.values()) == {200}

    async def test_other_daemons_are_told(self):
        """Daemons that got no such answer send nothing more, either."""
        target = LeavingTarget()
        target.leaves = True
        fleet = ForwarderFleet(answer=target.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=3, forwarders=2)
            while target.told_at is None:
                await fleet.ask(0, b'look')
            await asyncio.sleep(1)
            before = count_arrivals(fleet, after=0)
            for _ in range(30):
                assert (await fleet.ask(1, b'look')).status == 200
        assert count_arrivals(fleet, after=0) == before


LISTED = make_plain(LEAVER)
DEPARTURE = Departure(target=LISTED.name, born=LISTED.born)


class TestBelief:
    """What a daemon believes of a target that leaves."""

    @pytest.fixture
    def state(self):
        """State of a daemon that lists the target."""
        return make_state(LISTED)

    @pytest.mark.looptime
    async def test_later_row(self, state):
        """A row that still says ready does not take the answer back."""
        note_departure(state, DEPARTURE)
        targets = TargetList(state=state)
        targets.note_target(dataclasses.replace(LISTED, cold_seconds=1))
        assert state.targets[LEAVER].leaving

    @pytest.mark.looptime
    async def test_new_incarnation(self, state):
        """A restarted target under the same name starts anew."""
        note_departure(state, DEPARTURE)
        restarted = dataclasses.replace(LISTED, born=LISTED.born + 1)
        TargetList(state=state).note_target(restarted)
        assert not state.targets[LEAVER].leaving
        note_departure(state, DEPARTURE)
        assert not state.targets[LEAVER].leaving

    @pytest.mark.looptime
    async def test_row_that_comes_back(self, state):
        """A row that lapsed in an outage comes back as leaving."""
        note_departure(state, DEPARTURE)
        targets = TargetList(state=state)
        targets.note_missing(LISTED.name)
        assert not state.targets
        targets.note_target(LISTED)
        assert state.targets[LEAVER].leaving

    @pytest.mark.looptime
    @pytest.mark.parametrize(
        ('status', 'changes', 'leaving'),
        [
            (200, {}, True),
            (500, {}, True),
            (
                503,
                {
                    'Ragwortcourse-Not-Executed': '1',
                    'Ragwortcourse-Server-Stamp': '',
                },
                True,
            ),
            (200, {'Ragwortcourse-Weight-Versions': '7'}, True),
            (421, {}, False),
            (200, {'Ragwortcourse-Attempt-Id': 'a0'}, False),
            (200, {'Ragwortcourse-Server-Stamp': ''}, False),
        ],
    )
    async def test_answers(self, state, status, changes, leaving):
        """Any answer of this incarnation says it, and no other one."""
        marks = {
            'Ragwortcourse-Attempt-Id': 'a1',
            'Ragwortcourse-Server-Stamp': 's',
            'Server-Leaving': '1',
            **changes,
        }
        received = CIMultiDict({k: text for k, text in marks.items() if text})
        head = read_head(status, received, AttemptId('a1'))
        note_statements(make_forwarder(state, None), LISTED, head, sent_at=0)
        assert state.targets[LEAVER].leaving is leaving


@pytest.mark.looptime
class TestDepartureSender:
    """Departures that daemons send to each other."""

    def send(self, state, *, repeats: bool) -> list[bytes]:
        """Send one round to two other daemons."""
        sent = []
        sender = build_departure_sender(
            state=state,
            daemon=DaemonId('e1'),
            rng=random.Random(1),
            send=lambda content, _: sent.append(content),
        )
        sender.send_round(['p1', 'p2'], repeats=repeats)
        return sent

    def deliver(self, content: bytes, state) -> None:
        """Apply a message."""
        message = msgspec.json.decode(content, type=DepartureMessage)
        note_departures(state, message)

    async def test_news(self):
        """All daemons are told at once, and tell only random ones again."""
        state, other = make_state(LISTED), make_state(LISTED)
        note_departure(state, DEPARTURE)
        first, _ = self.send(state, repeats=False)
        self.deliver(first, other)
        assert other.targets[LEAVER].leaving
        assert not self.send(other, repeats=False)
        assert len(self.send(other, repeats=True)) == 1

    async def test_restarted_daemon(self):
        """A daemon that starts later is told, also before it reads the row."""
        state, restarted = make_state(LISTED), make_state()
        note_departure(state, DEPARTURE)
        await asyncio.sleep(60)
        (content,) = self.send(state, repeats=True)
        self.deliver(content, restarted)
        TargetList(state=restarted).note_target(LISTED)
        assert restarted.targets[LEAVER].leaving

    async def test_gone_target(self):
        """Nothing is told of targets that are no longer listed."""
        state = make_state(LISTED)
        note_departure(state, DEPARTURE)
        await asyncio.sleep(60)
        state.targets.clear()
        assert not self.send(state, repeats=True)

    async def test_bounded(self):
        """The oldest departures are forgotten."""
        departures = TargetDepartures()
        for number in range(DEPARTURES_LIMIT + 5):
            name = TargetName(f't-{number}')
            departures.add(Departure(target=name, born=1), own=True)
        assert len(departures.list_all()) == DEPARTURES_LIMIT
        assert len(departures.list_since(-1)) == DEPARTURES_LIMIT
