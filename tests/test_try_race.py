"""Tests of :mod:`ragwortcourse.forwarding.try_race`."""

import dataclasses

import pytest

from fakes.fleet_parts import (
    LOOKUP,
    make_forwarder,
    make_permitted_call,
    make_plain,
    make_state,
)
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.plain_call import serve_plain
from ragwortcourse.forwarding.reply import Reason
from ragwortcourse.forwarding.tries import Tries
from tests.test_plain_call import SILENT, ScriptedSession

pytestmark = pytest.mark.looptime

PATIENT = dataclasses.replace(LOOKUP, time_limit=6.0)
# The looks for one more target need fewer checks of whether one may be asked.
MOST_CHECKS = 200


class TestTimersThatFireEarly:
    """Clocks that read a little less than the time of a timer."""

    @pytest.mark.parametrize('lead', range(10))
    async def test_next_ask(self, monkeypatch, lead):
        """The loop does not spin until one more target is looked for."""
        checks = []
        find_end = Tries.find_end

        def count(tries, **options):
            checks.append(read_clock())
            assert len(checks) < MOST_CHECKS
            return find_end(tries, **options)

        monkeypatch.setattr(Tries, 'find_end', count)
        forwarder = make_forwarder(
            make_state(make_plain('silent', address=SILENT)),
            ScriptedSession(SILENT),
        )
        work = make_permitted_call(
            PATIENT, arrived_at=read_clock() - lead * 0.05
        )
        served = await serve_plain(Tries(forwarder=forwarder, work=work))
        assert served.reason is Reason.TIMED_OUT
