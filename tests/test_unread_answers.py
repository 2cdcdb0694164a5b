"""Answers that a target cuts as the caller did not read them."""

import asyncio
import math

import pytest

from fakes.fleet_parts import (
    make_forwarder,
    make_permitted_call,
    make_state,
    make_target,
)
from fakes.virtual_clocks import follow_loop
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.tries import Tries
from ragwortcourse.forwarding.try_lane import TryLane

pytestmark = pytest.mark.looptime


async def cut_answer(*, unread: float, later: float, cause: LossCause) -> float:
    """Cut an answer after it was not read; return the failures counted.

    :param unread: seconds for which the caller took nothing.
    :param later: seconds from then to the cut.
    """
    target = make_target()
    forwarder = make_forwarder(make_state(target), None)
    lane = TryLane(
        tries=Tries(forwarder=forwarder, work=make_permitted_call()),
        patience=math.inf,
    )
    load = forwarder.find_load(target)
    opened = OpenTry(
        target=target,
        load=load,
        answer=None,
        began_at=0,
        note_begun=lambda: None,
    )
    with follow_loop():
        lane.crashes.note_sent(target)
        with lane.pass_on():
            await asyncio.sleep(unread)
        await asyncio.sleep(later)
        lane.fail(opened, 'cut', cause)
        return load.target_health.score_failures(0)


class TestCut:
    """Which cuts count against a target."""

    @pytest.mark.parametrize(
        ('unread', 'later', 'cause', 'counts'),
        [
            (3, 0.1, LossCause.CUT, False),
            (0.1, 0.1, LossCause.CUT, True),
            (3, 60, LossCause.CUT, True),
            (3, 0.1, LossCause.INVALID, True),
            (0, 0, LossCause.UNREAD, False),
        ],
    )
    async def test_counts(self, unread, later, cause, counts):
        """A slow caller does not make a healthy target look as if it fails."""
        failures = await cut_answer(unread=unread, later=later, cause=cause)
        assert bool(failures) is counts
