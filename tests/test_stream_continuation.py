"""Tests of streams that a second target must not continue as it does."""

import asyncio
import logging

import aiohttp
import pytest

from fakes.fleet_parts import make_route
from fakes.fleet_target import (
    Received,
    Script,
    ScriptedConnection,
    begin_with,
)
from tests.test_forwarding import EVENTS, LETTER, Fleet, stream_all

STREAM = 'text/event-stream'
JSON = 'application/json'
FAILURE = b'{"error": "no such run"}\n\n'
BEGUN = 3
HAD = EVENTS[: EVENTS.index(f'id: {BEGUN}')]


def write_events(*numbers: int) -> bytes:
    """Build events with these ids."""
    return b''.join(
        b'id: %d\ndata: word%d\n\n' % (number, number) for number in numbers
    )


# Status, content type and body of answers that continue no stream.
ANSWERS = {
    'nothing': (200, STREAM, b''),
    'no content': (204, '', b''),
    'accepted': (202, STREAM, write_events(3, 4, 5)),
    'failure': (200, JSON, FAILURE),
    'failure as a stream': (200, STREAM, FAILURE),
    'failure as one event': (200, STREAM, b'data: %b' % FAILURE),
    'plain text': (200, 'text/plain', write_events(3, 4, 5)),
    'no type': (200, '', write_events(3, 4, 5)),
    'begun again': (200, STREAM, write_events(0, 1, 2, 3, 4, 5)),
    'last event again': (200, STREAM, write_events(2, 3, 4, 5)),
    'event twice': (200, STREAM, write_events(3, 4, 4, 5)),
    'events in disorder': (200, STREAM, write_events(4, 3, 5)),
    'failure at the end': (200, STREAM, write_events(3, 4) + FAILURE),
    'failure at the beginning': (200, STREAM, FAILURE + write_events(3, 4, 5)),
    'id that is no number': (200, STREAM, b'id: three\ndata: x\n\n'),
    'empty id': (200, STREAM, b'id:\ndata: x\n\n'),
    'two ids': (200, STREAM, b'id: 3\ndata: x\nid: 4\n\n'),
}


def break_off(head: str = STREAM, first: bytes = write_events(0, 1, 2)):
    """Build a script that resets a stream after some events."""

    async def script(
        received: Received, connection: ScriptedConnection
    ) -> None:
        await connection.begin(received, content_type=head)
        await connection.send(first)
        await asyncio.sleep(0.05)
        connection.reset()

    return script


def answer_with(status: int, kind: str, body: bytes) -> Script:
    """Build a script of a whole answer."""

    async def script(
        received: Received, connection: ScriptedConnection
    ) -> None:
        await connection.answer(received, status, body, content_type=kind)

    return script


async def read_stream(fleet: Fleet, **headers: str) -> tuple[str, bool]:
    """Return what the caller got of a stream, and whether it seemed whole."""
    response = await fleet.client.post(
        LETTER,
        data=b'body',
        headers={
            'Host': 'desk.example',
            'Authorization': 'Bearer a-key',
            'Ragwortcourse-Attempt-Id': 'a1',
            'Ragwortcourse-Deadline-Ms': '6000',
            **headers,
        },
    )
    text = ''
    try:
        async for piece in response.content.iter_any():
            text += piece.decode('latin-1')
    except aiohttp.ClientError:
        return text, False
    return text, True


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = Fleet()
    async with opened.stack:
        yield opened


class TestBegunStream:
    """Streams of which the caller has some events."""

    @pytest.mark.parametrize('answer', ANSWERS.values(), ids=ANSWERS)
    async def test_is_aborted(self, fleet, answer, caplog):
        """What continues no stream is not passed on, and ends none."""
        caplog.set_level(logging.INFO)
        script = begin_with(break_off(), answer_with(*answer))
        await fleet.open([script], [script])
        assert await read_stream(fleet) == (HAD, False)
        assert fleet.runs == 2
        messages = [record.getMessage() for record in caplog.records]
        assert messages.count('answer cut or invalid') == 2

    @pytest.mark.parametrize('answer', ANSWERS.values(), ids=ANSWERS)
    async def test_third_target_continues(self, fleet, answer):
        """A third target continues after the events that the caller has."""
        later = begin_with(answer_with(*answer), stream_all)
        script = begin_with(break_off(), later)
        await fleet.open([script], [script], [script])
        fleet.set_routes(make_route(max_tries=3))
        assert await read_stream(fleet) == (EVENTS, True)
        received = [
            each.headers.get('last-event-id')
            for target in fleet.targets
            for each in target.received
        ]
        assert sorted(received, key=str) == ['2', '2', None]

    @pytest.mark.parametrize('kind', [STREAM, 'Text/Event-Stream;charset=x'])
    @pytest.mark.parametrize('numbers', [(3, 4, 5), (4, 10, 11)])
    async def test_goes_on(self, fleet, kind, numbers):
        """Events of increasing ids go on, whatever the gaps."""
        body = write_events(*numbers)
        script = begin_with(break_off(), answer_with(200, kind, body))
        await fleet.open([script], [script])
        assert await read_stream(fleet) == (HAD + body.decode(), True)

    async def test_first_line_of_a_change(self, fleet):
        """An event may have lines before its id."""
        body = b'ragwortcourse-weight-versions: 2\nid: 3\ndata: x\n\n'
        script = begin_with(break_off(), answer_with(200, STREAM, body))
        await fleet.open([script], [script])
        assert await read_stream(fleet) == (HAD + body.decode(), True)

    async def test_first_answer_of_another_type(self, fleet):
        """A stream begun without the type of streams needs none to go on."""
        body = write_events(3, 4, 5)
        script = begin_with(break_off(''), answer_with(200, '', body))
        await fleet.open([script], [script])
        assert await read_stream(fleet) == (EVENTS, True)

    @pytest.mark.parametrize('line', [b'', b'id: x\n', b'id: \xb2\n'])
    async def test_without_ids(self, fleet, line):
        """A stream whose events have no numbers can't be continued."""
        had = line + b'data: word\n\n'
        script = begin_with(
            break_off(first=had), answer_with(200, STREAM, EVENTS.encode())
        )
        await fleet.open([script], [script])
        text, whole = await read_stream(fleet)
        assert not whole
        assert 'word0' not in text


class TestSilentStream:
    """Streams whose first target is silent and goes on later."""

    @pytest.mark.parametrize(
        'answer', ['nothing', 'failure', 'failure as a stream', 'begun again']
    )
    async def test_first_target_goes_on(self, fleet, answer):
        """What the second target answers meanwhile ends nothing."""

        async def pause(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await connection.begin(
                received, transfer_encoding='chunked', content_type=STREAM
            )
            await connection.send_events(0, BEGUN)
            await asyncio.sleep(1.4)
            await connection.send_events(BEGUN, 6)
            await connection.send(b'0\r\n\r\n')

        script = begin_with(pause, answer_with(*ANSWERS[answer]))
        await fleet.open([script], [script])
        assert await read_stream(fleet) == (EVENTS, True)
        assert fleet.runs == 2


class TestFirstAnswer:
    """Answers that begin a stream are the target's own."""

    @pytest.mark.parametrize('status', [200, 202])
    @pytest.mark.parametrize(
        ('kind', 'body'),
        [
            (STREAM, b''),
            (JSON, FAILURE),
            (STREAM, write_events(0, 2, 2, 1)),
            (STREAM, b': comment\n\n' + write_events(0)),
        ],
    )
    async def test_passed_on_unchanged(self, fleet, status, kind, body):
        """A whole answer of the first target is passed on."""
        await fleet.open([answer_with(status, kind, body)])
        assert await read_stream(fleet) == (body.decode(), True)

    async def test_nothing_passed_on_yet(self, fleet):
        """A second target may answer anything if nothing was passed on."""
        script = begin_with(
            break_off(first=b'id: 0\nda'), answer_with(200, JSON, FAILURE)
        )
        await fleet.open([script], [script])
        assert await read_stream(fleet) == (FAILURE.decode(), True)


class TestResumedByCaller:
    """Streams that a caller resumes after its last event."""

    @pytest.mark.parametrize('first', [0, 2])
    async def test_begun_again(self, fleet, first):
        """An answer that repeats the caller's events is not passed on."""
        body = write_events(*range(first, 6))
        script = begin_with(answer_with(200, STREAM, body), stream_all)
        await fleet.open([script], [script])
        assert await read_stream(fleet, **{'Last-Event-Id': '2'}) == (
            write_events(3, 4, 5).decode(),
            True,
        )
        assert fleet.runs == 2

    async def test_no_other_target(self, fleet):
        """The caller gets 502, as none of the stream was passed on."""
        await fleet.open([answer_with(200, STREAM, write_events(0, 1, 2, 3))])
        response = await fleet.ask(LETTER, **{'Last-Event-Id': '2'})
        assert response.status == 502

    @pytest.mark.parametrize(
        'body', [write_events(3, 4), b'', FAILURE, b'id: x\ndata: x\n\n']
    )
    async def test_passed_on_unchanged(self, fleet, body):
        """An answer that repeats nothing is the target's own."""
        await fleet.open([answer_with(200, STREAM, body)])
        assert await read_stream(fleet, **{'Last-Event-Id': '2'}) == (
            body.decode(),
            True,
        )

    @pytest.mark.parametrize('last_event', ['x', '', '9' * 5000])
    async def test_unreadable(self, fleet, last_event):
        """An id that is no number of an event rules nothing out."""
        await fleet.open([answer_with(200, STREAM, EVENTS.encode())])
        headers = {'Last-Event-Id': last_event}
        assert await read_stream(fleet, **headers) == (EVENTS, True)

    async def test_not_resumable(self, fleet):
        """A stream that can't be resumed may begin again."""
        await fleet.open([answer_with(200, STREAM, EVENTS.encode())])
        fleet.set_routes(make_route(resumable=False))
        headers = {'Last-Event-Id': '2'}
        assert await read_stream(fleet, **headers) == (EVENTS, True)
