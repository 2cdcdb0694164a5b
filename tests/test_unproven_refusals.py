"""Tests of targets that refuse without proof that they did not run."""

import pytest

from fakes.fleet_parts import make_route
from fakes.fleet_target import (
    Received,
    Script,
    ScriptedConnection,
    answer_whole,
    begin_with,
)
from tests.test_forwarding import CHARGED, LETTER, LOOK, Fleet, stream_all

# A caller takes each of these statuses as a promise that nothing ran.
PROMISES = [408, 429, 503]


def answer_with(status: int) -> Script:
    """Build a script of an answer without the mark of a refusal."""

    async def script(
        received: Received, connection: ScriptedConnection
    ) -> None:
        await connection.answer(received, status, b'', retry_after='1')

    return script


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = Fleet()
    async with opened.stack:
        yield opened


@pytest.mark.parametrize('status', PROMISES)
class TestPromise:
    """Statuses that promise more than their target states."""

    async def test_charge(self, fleet, status):
        """A charge that may have run gets 502 without a target's stamp."""
        await fleet.open([answer_with(status)], plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == 502
        assert 'Ragwortcourse-Server-Stamp' not in response.headers
        assert 'Retry-After' not in response.headers

    async def test_charge_is_not_repeated(self, fleet, status):
        """A charge that may have run is sent to no other target."""
        script = begin_with(answer_with(status), answer_whole)
        await fleet.open([script], [script], plain=True)
        assert (await fleet.ask(CHARGED)).status == 502
        assert fleet.runs == 1

    async def test_stream(self, fleet, status):
        """A stream that can't be resumed gets 502."""
        await fleet.open([answer_with(status)])
        fleet.set_routes(make_route(resumable=False))
        assert (await fleet.ask(LETTER)).status == 502
        assert fleet.runs == 1

    @pytest.mark.parametrize(
        ('path', 'then', 'plain'),
        [(LOOK, answer_whole, True), (LETTER, stream_all, False)],
    )
    async def test_repeated(self, fleet, status, path, then, plain):
        """What may run again goes to another target."""
        script = begin_with(answer_with(status), then)
        await fleet.open([script], [script], plain=plain)
        assert (await fleet.ask(path)).status == 200
        assert fleet.runs == 2


class TestOtherFailures:
    """Failures that promise nothing."""

    @pytest.mark.parametrize('status', [400, 404, 409, 500, 502, 504])
    async def test_passed_on(self, fleet, status):
        """A failure of the target is passed on with its stamp."""
        await fleet.open([answer_with(status)], plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == status
        assert response.headers['Ragwortcourse-Server-Stamp'] == 'stamp'
