"""Tests of answers whose status line is none, over sockets."""

import asyncio

import aiohttp
import pytest

from fakes.fleet_parts import LOOKUP, make_route
from fakes.fleet_target import (
    Received,
    Script,
    ScriptedConnection,
    answer_whole,
    begin_with,
)
from fakes.forwarder_fleet import CHANGE
from ragwortcourse.event_loop import EventLoop
from ragwortcourse.forwarding.answer_head import PROMISES
from tests.test_client_session import NAMES, use_session
from tests.test_cut_heads import CutTarget, open_all_sessions
from tests.test_endless_answers import list_paths
from tests.test_forwarding import (
    EVENTS,
    LETTER,
    LOOK,
    Fleet,
    stream_all,
)
from tests.test_stream_continuation import HAD, break_off, read_stream

# What comes before the headers of an answer that is none.
NO_STATUSES = {
    'zero': b'HTTP/1.1 000 OK',
    'two digits': b'HTTP/1.1 99 OK',
    'below 100': b'HTTP/1.1 099 OK',
    '600': b'HTTP/1.1 600 OK',
    '999': b'HTTP/1.1 999 OK',
    'four digits': b'HTTP/1.1 2000 OK',
    'letter after it': b'HTTP/1.1 200x OK',
    'sign': b'HTTP/1.1 +200 OK',
    'minus': b'HTTP/1.1 -20 OK',
    'space before it': b'HTTP/1.1  200 OK',
    'space within it': b'HTTP/1.1 2 00 OK',
    'version 9.9': b'HTTP/9.9 200 OK',
    'version 2.0': b'HTTP/2.0 200 OK',
    'version 0.9': b'HTTP/0.9 200 OK',
    'interim before it': b'HTTP/1.1 102 P\r\n\r\nHTTP/1.1 600 OK',
    'interim of none': b'HTTP/1.1 000 P\r\n\r\nHTTP/1.1 200 OK',
    'another before it': b'HTTP/1.1 600 P\r\nContent-Length: 0\r\n\r\n'
    b'HTTP/1.1 200 OK',
}
STATUSES = {
    'version 1.0': b'HTTP/1.0 200 OK',
    'no reason': b'HTTP/1.1 200',
    'interim before it': b'HTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK',
    'unknown interim': b'HTTP/1.1 199 P\r\n\r\nHTTP/1.1 200 OK',
    'highest': b'HTTP/1.1 599 OK',
}
INTERIM = b'HTTP/1.1 102 P\r\n\r\n'
BODY = b'\r\nContent-Length: 2\r\n\r\nok'
CALL_SECONDS = 5.0

every_line = pytest.mark.parametrize(
    'line', NO_STATUSES.values(), ids=NO_STATUSES
)


def answer_raw(line: bytes) -> Script:
    """Build a script that answers with all marks after a status line.

    The connection stays open, so that only the line tells that it is none.
    """

    async def script(
        received: Received, connection: ScriptedConnection
    ) -> None:
        await connection.send(
            line + b'\r\nRagwortcourse-Attempt-Id: %b\r\n'
            b'Ragwortcourse-Server-Stamp: stamp\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Content-Length: 19\r\n\r\nid: 3\ndata: word3\n\n'
            % received.attempt.encode()
        )
        await asyncio.sleep(CALL_SECONDS)

    return script


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = Fleet()
    async with opened.stack:
        yield opened


async def ask_raw(name: str, content: bytes) -> int | None:
    """Return the status that a session takes; none if it takes no answer."""
    target = CutTarget()
    target.content = content
    target.pause = CALL_SECONDS
    async with target.listen(), use_session(name) as session:
        try:
            async with (
                asyncio.timeout(CALL_SECONDS / 2),
                session.post(f'http://{target.address}/', data=b'x') as answer,
            ):
                assert await answer.read() == b'ok'
                return answer.status
        except aiohttp.ClientResponseError:
            return None


@pytest.mark.parametrize('name', NAMES)
class TestSessions:
    """Sessions that the programs use, beside such servers."""

    @every_line
    async def test_status_that_is_none_is_taken(self, name, line):
        """A status outside 100 to 599 was taken, or its call waited on."""
        assert await ask_raw(name, line + BODY) is None

    @pytest.mark.parametrize('line', STATUSES.values(), ids=STATUSES)
    async def test_status_is_refused(self, name, line):
        """A regular answer, also after an interim one, stays an answer."""
        status = await ask_raw(name, line + BODY)
        assert status == (599 if b'599' in line else 200)

    @pytest.mark.parametrize('rest', [INTERIM, b'HTTP/1.1 600 OK' + BODY])
    async def test_rest_spoils_an_answer(self, name, rest):
        """A head after a whole answer takes nothing from that answer."""
        line = b'HTTP/1.1 200 OK'
        assert await ask_raw(name, line + BODY + rest) == 200


@pytest.mark.parametrize('path', list_paths(), ids=lambda path: path.__name__)
class TestEveryReader:
    """Every reader of answers, beside servers that send such heads."""

    @pytest.mark.parametrize('line', [b'000', b'600'])
    def test_status_that_is_none_is_taken(self, path, line):
        """An answer was taken from its marks and body, whatever its status."""
        content = path().frame('length').split(b'\r\n', 1)[1]
        target = CutTarget()
        target.content = b'HTTP/1.1 %b OK\r\n%b' % (line, content)
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            assert not runner.run(self._ask(path(), target))
        assert target.requests

    @staticmethod
    async def _ask(path, target) -> bool:
        async with target.listen(), open_all_sessions() as sessions:
            return await path._ask(sessions, target.address)


@every_line
class TestForwarder:
    """Requests at a forwarder one of whose targets sends such a head."""

    async def test_look_up_is_not_sent_on(self, fleet, line):
        """STATUS: a caller got 600, although another target was up."""
        script = begin_with(answer_raw(line), answer_whole)
        await fleet.open([script], [script], plain=True)
        response = await fleet.ask(LOOK)
        assert (response.status, fleet.runs) == (200, 2)

    async def test_stream_is_not_sent_on(self, fleet, line):
        """STATUS: a stream's caller got 600, although another was up."""
        script = begin_with(answer_raw(line), stream_all)
        await fleet.open([script], [script])
        response = await fleet.ask(LETTER)
        assert (response.status, fleet.runs) == (200, 2)
        assert await response.text() == EVENTS

    async def test_change_is_sent_on(self, fleet, line):
        """STATUS: a change that may have run once got a promise, or ran on."""
        await fleet.open([answer_raw(line)], [answer_raw(line)], plain=True)
        status = (await fleet.ask(CHANGE)).status
        assert (status, fleet.runs) == (502, 1)

    @pytest.mark.parametrize('path', [LOOK, LETTER])
    async def test_last_answer_is_a_promise(self, fleet, line, path):
        """STATUS: a request that may have run was answered as not run."""
        script = [answer_raw(line)]
        await fleet.open(script, script, plain=path == LOOK)
        status = (await fleet.ask(path)).status
        assert status not in PROMISES
        assert status == 502

    async def test_stream_is_continued_by_it(self, fleet, line):
        """STATUS: an answer that is none went on with a caller's stream."""
        script = begin_with(break_off(), answer_raw(line))
        await fleet.open([script], [script])
        assert await read_stream(fleet) == (HAD, False)

    async def test_third_target_continues(self, fleet, line):
        """STATUS: a stream ended at such an answer, with a target to go."""
        script = begin_with(
            break_off(), begin_with(answer_raw(line), stream_all)
        )
        await fleet.open([script], [script], [script])
        fleet.set_routes(make_route(max_tries=3))
        assert await read_stream(fleet) == (EVENTS, True)


class TestLoss:
    """What is noted of a target whose answer is none."""

    async def test_target_is_not_blamed(self, fleet, caplog):
        """An invalid answer is logged as one and counts against its target."""
        caplog.set_level('INFO')
        await fleet.open([answer_raw(b'HTTP/1.1 000 OK')], plain=True)
        fleet.set_routes(LOOKUP)
        await fleet.ask(LOOK)
        details = [
            record.detail
            for record in caplog.records
            if record.getMessage() == 'no answer from target'
        ]
        assert ['status 000' in each for each in details] == [True]
