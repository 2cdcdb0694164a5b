"""Tests of the log lines about requests that no further target serves."""

import dataclasses
import logging

import aiohttp
import pytest

from fakes.fleet_parts import LOOKUP, make_route
from tests.test_forwarding import (
    CHARGED,
    LETTER,
    LOOK,
    Fleet,
    cut,
    decline,
    stream_until,
)

ABORTED = 'answer aborted before its end'


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = Fleet()
    async with opened.stack:
        yield opened


@pytest.fixture
def lines(caplog):
    """Fields of the log lines with a message."""
    caplog.set_level(logging.INFO, logger='ragwortcourse.forwarding')

    def find(message: str) -> list[dict[str, object]]:
        return [
            vars(each) for each in caplog.records if each.message == message
        ]

    return find


async def ask_broken(fleet: Fleet) -> None:
    """Ask for a stream that is aborted."""
    with pytest.raises(aiohttp.ClientError):
        await fleet.ask(LETTER)


class TestAbortedAnswer:
    """Log lines of streams that are aborted."""

    async def test_no_usable_target(self, fleet, lines):
        """The line tells that no other target was usable."""
        await fleet.open([stream_until(2)])
        await ask_broken(fleet)
        (line,) = lines(ABORTED)
        assert line['reason'] == 'answer lost or spoilt'
        assert line['ended_by'] == 'no usable target'
        assert line['targets'] == ['t-0']
        assert line['listed'] == 1

    async def test_may_run_once(self, fleet, lines):
        """The line tells that the stream may not be continued."""
        await fleet.open([stream_until(2)], [stream_until(2)])
        fleet.set_routes(make_route(resumable=False))
        await ask_broken(fleet)
        (line,) = lines(ABORTED)
        assert line['ended_by'] == 'may run only once'

    async def test_retry_budget(self, fleet, lines):
        """The line tells that the retry budget was spent."""
        await fleet.open([stream_until(2)], [stream_until(2)])
        budget = fleet.forwarder.safeguards.retry_budget
        while budget.try_spend():
            pass
        await ask_broken(fleet)
        (line,) = lines(ABORTED)
        assert line['ended_by'] == 'retry budget spent'

    async def test_tries_of_the_route(self, fleet, lines):
        """The line tells that the route allows no more runs."""
        await fleet.open([stream_until(2)], [stream_until(3)])
        fleet.set_routes(make_route(max_tries=1))
        await ask_broken(fleet)
        (line,) = lines(ABORTED)
        assert line['ended_by'].startswith('may have run at as many')
        assert line['runs'] == 1


class TestRefusal:
    """Log lines of requests that end with a refusal."""

    async def test_lost_charge(self, fleet, lines):
        """The line tells that a charge may run only once."""
        await fleet.open([cut], [cut], plain=True)
        await fleet.ask(CHARGED)
        (line,) = lines('refused')
        assert line['ended_by'] == 'may run only once'

    async def test_lost_look_up(self, fleet, lines):
        """The line tells that all targets that may run it have been tried."""
        await fleet.open([cut], [cut], plain=True)
        fleet.set_routes(dataclasses.replace(LOOKUP, max_tries=2))
        await fleet.ask(LOOK)
        (line,) = lines('refused')
        assert line['ended_by'].startswith('may have run at as many')
        assert sorted(line['targets']) == ['t-0', 't-1']

    async def test_declined(self, fleet, lines):
        """A refusal that promises that nothing ran tells who declined."""
        await fleet.open([decline], plain=True)
        await fleet.ask(CHARGED)
        (line,) = lines('refused')
        assert line['reason'] == 'targets did not run it'
        assert line['ended_by'] == 'no usable target'
        assert line['targets'] == ['t-0']
