"""Tests of requests to engines on other weights than daemons believe."""

import asyncio
import dataclasses

import pytest

from fakes.fleet_parts import FLEET, MODEL, make_target
from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import LETTER, ForwarderFleet
from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import TargetName

BOUND_SECONDS = FLEET.version_ms / 1000
EXPECTED = 'ragwortcourse-expect-version'
SET_BACK, SOUND = TargetName('t-0'), TargetName('t-1')


class Engines:
    """Two engines that state their versions, one of them set back.

    :ivar held: versions that they hold.
    :ivar runs: engine and version of each run.
    """

    def __init__(self) -> None:
        self.held = {SET_BACK: 5, SOUND: 6}
        self.runs: list[tuple[str, int]] = []
        self.expected: list[str | None] = []
        self.states_version = True

    async def answer(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        """Run a request, unless it expects another version."""
        name = TargetName(received.headers['ragwortcourse-expect-instance'])
        held = self.held[name]
        marks = {
            'ragwortcourse_weight_versions': str(held),
            'ragwortcourse_instance_id': name,
        }
        expected = received.headers.get(EXPECTED)
        self.expected.append(expected)
        if expected not in {None, str(held)}:
            if not self.states_version:
                marks.pop('ragwortcourse_weight_versions')
            await connection.answer(
                received, 421, b'', ragwortcourse_not_executed='1', **marks
            )
            return
        self.runs.append((name, held))
        await connection.begin(
            received,
            transfer_encoding='chunked',
            content_type='text/event-stream',
            **marks,
        )
        await connection.send_events(0, 2)
        await connection.send(b'0\r\n\r\n')


@pytest.fixture
def engines():
    """Engines of which one is set back to expired weights."""
    return Engines()


@pytest.fixture
async def fleet(engines):
    """One forwarder that believes that both engines hold version 6."""
    opened = ForwarderFleet(answer=engines.answer)
    async with opened.exit_stack:
        await opened.open(targets=2, forwarders=1, plain=False)
        announce(opened, BOUND_SECONDS + 1)
        yield opened


def announce(fleet: ForwarderFleet, seconds_ago: float) -> None:
    """Announce version 6, and let the entries of all engines name it."""
    (forwarder,) = fleet.forwarders
    state = forwarder.state
    seen_at = read_clock_with_suspend() - seconds_ago
    state.weights[MODEL] = (AnnouncedVersion(version=6, seen_at=seen_at),)
    weights = HeldWeights(version=6, first=0, end=16)
    for name, target in state.targets.items():
        state.targets[name] = dataclasses.replace(target, weights=weights)


class TestEngineThatIsSetBack:
    """An engine on expired weights whose entry still names newer ones."""

    @pytest.mark.parametrize('states_version', [False, True])
    async def test_request_began_on_expired_weights(
        self, fleet, engines, states_version
    ):
        """VERSION: daemons sent to an engine that had been set back."""
        engines.states_version = states_version
        for _ in range(12):
            answer = await fleet.ask(0, b'letter', LETTER)
            assert answer.status == 200
        assert set(engines.runs) == {(SOUND, 6)}
        # One refusal is enough to know of it.
        assert len(engines.expected) == len(engines.runs) + 1

    async def test_used_again_once_its_loader_tells(self, fleet, engines):
        """The engine gets requests again after the next switch."""
        (forwarder,) = fleet.forwarders
        for _ in range(12):
            await fleet.ask(0, b'letter', LETTER)
        engines.held[SET_BACK] = 6
        target = forwarder.state.targets[SET_BACK]
        load = forwarder.find_load(target)
        load.stated_version.note_loader(6, read_clock())
        load.target_health.avoided_until = 0
        await asyncio.gather(
            *(fleet.ask(0, b'letter', LETTER) for _ in range(30))
        )
        assert (SET_BACK, 6) in engines.runs

    async def test_newer_engine(self, fleet, engines):
        """An engine that is newer than believed gets the next requests."""
        engines.held = {SET_BACK: 7, SOUND: 7}
        statuses = [
            (await fleet.ask(0, b'letter', LETTER)).status for _ in range(4)
        ]
        # Both engines refuse the first request, which learns their version.
        assert statuses[1:] == [200] * 3
        assert {version for _, version in engines.runs} == {7}


class TestUnexpired:
    """Times at which requests may begin on any version."""

    async def test_nothing_is_expected_before_a_bound(self, fleet, engines):
        """Engines on the older version serve until it expires."""
        announce(fleet, 0)
        engines.held[SET_BACK] = 5
        for _ in range(6):
            assert (await fleet.ask(0, b'letter', LETTER)).status == 200
        assert set(engines.expected) == {None}

    def test_target_without_weights(self):
        """An entry without weights names version zero."""
        assert make_target(weights=None).version == 0
