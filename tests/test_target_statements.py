"""Tests of :mod:`ragwortcourse.forwarding.target_statements`."""

import pytest
from multidict import CIMultiDict

from fakes.fleet_parts import make_forwarder, make_state, make_target
from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import LETTER, ForwarderFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.target_statements import note_statements
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.platform.wire import read_head

ENGINE = make_target('t-0')
STATEMENTS = {
    'Ragwortcourse-Server-Load': '20,9,16',
    'Ragwortcourse-Cold-Ms': '9000',
    'Ragwortcourse-Weight-Versions': '7',
    'Server-Limit': '1',
    'Server-Leaving': '1',
}


@pytest.mark.looptime
class TestNoteStatements:
    """What answers state about their targets."""

    def note(self, status: int, **marks: str):
        """Apply an answer; return the forwarder."""
        forwarder = make_forwarder(make_state(ENGINE), None)
        received = CIMultiDict({**STATEMENTS, **marks})
        head = read_head(status, received, AttemptId('a1'))
        note_statements(forwarder, ENGINE, head, sent_at=0)
        return forwarder

    async def test_genuine(self):
        """Everything is taken from an answer of the incarnation."""
        forwarder = self.note(
            200,
            **{
                'Ragwortcourse-Attempt-Id': 'a1',
                'Ragwortcourse-Server-Stamp': 's',
            },
        )
        load = forwarder.find_load(ENGINE)
        assert load.stated_version.number == 7
        assert load.cold_until > read_clock()
        assert load.estimate(read_clock()) > 0
        assert forwarder.safeguards.target_limits.find_rate(ENGINE) == 1
        assert forwarder.state.targets['t-0'].leaving

    @pytest.mark.parametrize(
        ('status', 'marks'),
        [
            (421, {'Ragwortcourse-Attempt-Id': 'a1'}),
            (200, {'Ragwortcourse-Attempt-Id': 'a1'}),
            (
                200,
                {
                    'Ragwortcourse-Attempt-Id': 'a0',
                    'Ragwortcourse-Server-Stamp': 's',
                },
            ),
        ],
    )
    async def test_answer_of_another_target(self, status, marks):
        """Nothing is taken from answers of others at the same address."""
        forwarder = self.note(status, **marks)
        load = forwarder.find_load(ENGINE)
        assert load.stated_version.number == 0
        assert load.cold_until <= read_clock()
        assert load.estimate(read_clock()) == 0
        assert forwarder.safeguards.target_limits.find_rate(ENGINE) is None
        assert not forwarder.state.targets['t-0'].leaving


class TestMisdirectedRequest:
    """A request that reaches another target at a known address."""

    async def test_weights_of_another_target_count_as_held(self):
        """The other target's version of the weights is not taken over."""

        async def misdirect(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await connection.answer(
                received, 421, b'', ragwortcourse_weight_versions='7'
            )

        fleet = ForwarderFleet(answer=misdirect)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=1, plain=False)
            assert (await fleet.ask(0, b'letter', LETTER)).status == 503
            (forwarder,) = fleet.forwarders
            (target,) = forwarder.state.targets.values()
            assert forwarder.find_load(target).read_version(target) == 1
