"""Requests that wait at a target until its weights have expired."""

import asyncio
import math

import pytest

from fakes.fleet_parts import (
    FLEET,
    MODEL,
    make_forwarder,
    make_permitted_call,
    make_route,
    make_state,
    make_target,
)
from fakes.virtual_clocks import follow_loop
from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.fleet_updates import note_weights
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.tries import Tries
from ragwortcourse.forwarding.try_lane import TryLane

pytestmark = pytest.mark.looptime
BOUND_SECONDS = FLEET.version_ms / 1000


class BusyEngines:
    """Session of which no request gets an answer.

    :ivar held_for: seconds for which requests were held, in order.
    """

    closed = False

    def __init__(self) -> None:
        self.held_for: list[float] = []

    async def request(self, *_: object, **__: object) -> None:
        """Hold a request until it is cancelled."""
        began_at = read_clock()
        try:
            await asyncio.sleep(math.inf)
        finally:
            self.held_for.append(read_clock() - began_at)


async def hold_request(announced_after: float) -> float:
    """Hold a request that may not be repeated; return for how long.

    :param announced_after: seconds until version 2 is announced.
    """
    engines = BusyEngines()
    forwarder = make_forwarder(make_state(make_target()), engines)
    route = make_route(max_tries=1, resumable=False, time_limit=20.0)
    work = make_permitted_call(route=route)
    lane = TryLane(
        tries=Tries(forwarder=forwarder, work=work), patience=math.inf
    )
    with follow_loop():
        task = asyncio.ensure_future(lane.open(None))
        await asyncio.sleep(announced_after)
        named = AnnouncedVersion(version=2, seen_at=read_clock_with_suspend())
        note_weights(forwarder.state, MODEL, named)
        await asyncio.wait((task,), timeout=15)
        task.cancel()
        await asyncio.wait((task,))
    return engines.held_for[0]


class TestStartLimit:
    """Cancellation of requests that have not begun."""

    async def test_version_announced_while_a_request_waits(self):
        """Its bound applies to requests that were sent before it."""
        assert await hold_request(1) <= BOUND_SECONDS + 1
