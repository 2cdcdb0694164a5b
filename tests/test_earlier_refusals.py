"""Tests of targets that send the refusal of another request."""

import pytest

from fakes.fleet_parts import KEY, make_route
from fakes.fleet_target import (
    Received,
    Script,
    ScriptedConnection,
    answer_whole,
    begin_with,
)
from tests.test_forwarding import CHARGED, LETTER, LOOK, Fleet, stream_all

OTHER = 'a0'
# Statuses of refusals, and whether the refusal needs the mark of its target.
REFUSALS = [(503, True), (429, True), (400, True), (421, True), (421, False)]


def refuse(status: int, marked: bool, attempt: str) -> Script:
    """Build a script that refuses a request.

    :param attempt: attempt id in the refusal; empty for none.
    """

    async def script(
        received: Received, connection: ScriptedConnection
    ) -> None:
        await connection.answer(
            received,
            status,
            b'',
            ragwortcourse_attempt_id=attempt,
            ragwortcourse_not_executed='1' if marked else '',
        )

    return script


async def ask_without_id(fleet: Fleet) -> int:
    """Send a charge without an attempt id and return the status."""
    headers = {'Host': 'desk.example', 'Authorization': f'Bearer {KEY}'}
    response = await fleet.client.post(CHARGED, data=b'body', headers=headers)
    await response.read()
    return response.status


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = Fleet()
    async with opened.stack:
        yield opened


@pytest.mark.parametrize(('status', 'marked'), REFUSALS)
class TestOtherRequest:
    """Refusals that name another request: the sent one may have run."""

    async def test_charge_is_not_repeated(self, fleet, status, marked):
        """A charge gets 502, and no other target runs it."""
        script = refuse(status, marked, OTHER)
        await fleet.open(*[[begin_with(script, answer_whole)]] * 2, plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == 502
        assert 'Retry-After' not in response.headers
        assert fleet.runs == 1

    async def test_stream_is_not_repeated(self, fleet, status, marked):
        """A stream that can't be resumed gets 502 and no second run."""
        script = refuse(status, marked, OTHER)
        await fleet.open(*[[begin_with(script, stream_all)]] * 2)
        fleet.set_routes(make_route(resumable=False))
        response = await fleet.ask(LETTER)
        assert response.status == 502
        assert fleet.runs == 1

    async def test_lookup_is_repeated(self, fleet, status, marked):
        """A lookup may run at another target."""
        script = begin_with(refuse(status, marked, OTHER), answer_whole)
        await fleet.open([script], [script], plain=True)
        response = await fleet.ask(LOOK)
        assert response.status == 200
        assert fleet.runs == 2

    async def test_counts_as_a_run(self, fleet, status, marked):
        """Refused lookups are sent no more often than the route allows."""
        script = refuse(status, marked, OTHER)
        await fleet.open(*[[script]] * 4, plain=True)
        response = await fleet.ask(LOOK)
        assert response.status == 502
        assert fleet.runs == 2

    async def test_request_without_id(self, fleet, status, marked):
        """A request without an id is not refused by an answer with one."""
        script = refuse(status, marked, OTHER)
        await fleet.open(*[[begin_with(script, answer_whole)]] * 2, plain=True)
        assert await ask_without_id(fleet) == 502
        assert fleet.runs == 1


@pytest.mark.parametrize(('status', 'marked'), REFUSALS)
class TestNoId:
    """Refusals without an id, on the connection of the request."""

    async def test_charge_goes_elsewhere(self, fleet, status, marked):
        """A charge is sent to another target."""
        script = begin_with(refuse(status, marked, ''), answer_whole)
        await fleet.open([script], [script], plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == 200
        assert fleet.runs == 2

    async def test_all_refuse(self, fleet, status, marked):
        """A request that all targets refuse gets 503."""
        script = refuse(status, marked, '')
        await fleet.open([script], [script], plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == 503
        assert 'Retry-After' in response.headers

    async def test_request_without_id(self, fleet, status, marked):
        """A request without an id is refused without one."""
        script = refuse(status, marked, '')
        await fleet.open([script], plain=True)
        assert await ask_without_id(fleet) == 503
