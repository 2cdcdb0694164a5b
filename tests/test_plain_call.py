"""Tests of :mod:`ragwortcourse.forwarding.plain_call`."""

import asyncio
import dataclasses

import aiohttp
import pytest
from multidict import CIMultiDict

from fakes.fleet_parts import (
    LOOKUP,
    make_forwarder,
    make_permitted_call,
    make_plain,
    make_state,
)
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.plain_call import serve_plain
from ragwortcourse.forwarding.reply import Reason
from ragwortcourse.forwarding.tries import Tries

pytestmark = pytest.mark.looptime

SILENT = '127.0.0.1:1'


class WholeResponse:
    """Whole answer of a target."""

    status = 200
    headers = CIMultiDict(
        {
            'Ragwortcourse-Attempt-Id': 'a1',
            'Ragwortcourse-Server-Stamp': 'stamp',
            'Content-Length': '5',
        }
    )

    def __init__(self) -> None:
        self.content = self

    async def iter_any(self):
        """Yield the body."""
        yield b'whole'

    def close(self) -> None:
        """Close nothing."""


class ScriptedSession:
    """Session to targets that answer, fall silent or cut the connection.

    :param silent: addresses of the targets that fall silent.
    :param silences: requests under which any target falls silent, first.
    :param cuts: true if the other targets cut the connection.
    :ivar asked: addresses asked, in order.
    """

    closed = False

    def __init__(
        self, *silent: str, silences: int = 0, cuts: bool = False
    ) -> None:
        self.asked: list[str] = []
        self._silent = silent
        self._silences = silences
        self._cuts = cuts

    async def request(self, method, url, **options) -> WholeResponse:
        """Answer, fall silent, or cut the connection."""
        self.asked.append(url.authority)
        await asyncio.sleep(0.001)
        is_silent = len(self.asked) <= self._silences
        if is_silent or url.authority in self._silent:
            await asyncio.Event().wait()
        if self._cuts:
            raise aiohttp.ServerDisconnectedError
        return WholeResponse()


def open_forwarder(
    session: ScriptedSession, *, targets: int, seed: int = 1
) -> Forwarder:
    """Build a forwarder of some targets of the plain service."""
    forwarder = make_forwarder(
        make_state(
            *(
                make_plain(f'p-{number}', address=f'127.0.0.1:{number}')
                for number in range(1, targets + 1)
            )
        ),
        session,
    )
    forwarder.rng.seed(seed)
    return forwarder


async def look_up(
    forwarder: Forwarder,
    path: str = '/lookups/1',
    seconds: float = LOOKUP.time_limit,
) -> Tries:
    """Serve a look-up; return its tries.

    :param seconds: time that the caller leaves.
    """
    now = read_clock()
    work = make_permitted_call(LOOKUP, arrived_at=now, path_and_query=path)
    tries = Tries(
        forwarder=forwarder,
        work=dataclasses.replace(work, deadline=now + seconds),
    )
    await serve_plain(tries)
    return tries


class TestSilentTarget:
    """Targets that do not answer within the time of a try."""

    @pytest.mark.parametrize('seed', range(20))
    async def test_suspect_goes_to_a_target_that_has_not_run_it(self, seed):
        """A suspect is not sent again to the target that fell silent.

        There it shows nothing, and needs one more target to be held back.
        """
        session = ScriptedSession(silences=1, cuts=True)
        forwarder = open_forwarder(session, targets=6, seed=seed)
        await look_up(forwarder)
        tries = await look_up(forwarder)
        assert len(session.asked) == len(set(session.asked)) == 3
        admission = forwarder.safeguards.crash_admission
        refusal = admission.check(tries.suspects)
        assert refusal.reason is Reason.CRASHES_TARGETS

    @pytest.mark.parametrize('seed', range(20))
    async def test_other_requests_go_elsewhere(self, seed):
        """Another request goes to the other targets for some time."""
        session = ScriptedSession(SILENT)
        forwarder = open_forwarder(session, targets=3, seed=seed)
        for number in range(20):
            if SILENT not in session.asked:
                await look_up(forwarder, f'/lookups/{number}')
        assert session.asked[-2:][0] == SILENT
        for number in range(10):
            await look_up(forwarder, f'/others/{number}')
        assert session.asked.count(SILENT) == 1

    async def test_try_that_was_short(self):
        """A caller that leaves little time does not discredit a target."""
        session = ScriptedSession(silences=2)
        forwarder = open_forwarder(session, targets=2)
        await look_up(forwarder, seconds=0.2)
        assert len(session.asked) == 2
        now = read_clock()
        assert not any(
            forwarder.find_load(target).is_avoided(now)
            for target in forwarder.state.targets.values()
        )
