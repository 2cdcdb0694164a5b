"""Tests of :mod:`ragwortcourse.forwarding.event_buffer`."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.event_buffer import EVENT_BYTES, EventBuffer

EVENTS = b''.join(b'id: %d\ndata: word\n\n' % number for number in range(5))
HEAD = AnswerHead(
    status=200,
    ran=True,
    genuine=True,
    load=None,
    cold_seconds=None,
    version=None,
    headers=CIMultiDict({'Content-Type': 'text/event-stream'}),
)


class TestEventBuffer:
    """Reassembly of events from pieces."""

    def test_holds_back(self):
        """An incomplete event is held back."""
        events = EventBuffer(last_event=None)
        assert events.add(b'id: 0\ndata: wo') == b''
        assert events.has_rest
        assert events.add(b'rd\n\nid: 1') == b'id: 0\ndata: word\n\n'
        assert events.last_event == '0'

    def test_dropped_rest(self):
        """A discarded incomplete event leaves no trace."""
        events = EventBuffer(last_event='3')
        events.add(b'id: 4\nda')
        events.drop_rest()
        assert not events.has_rest
        assert events.last_event == '3'
        assert events.add(b'id: 4\ndata: x\n\n') == b'id: 4\ndata: x\n\n'

    @pytest.mark.parametrize(
        ('line', 'expected'),
        [(b'id:7', '7'), (b'id: 7', '7'), (b'idx: 7', '2')],
    )
    def test_id(self, line, expected):
        """Only the id field changes the last event."""
        events = EventBuffer(last_event='2')
        events.add(line + b'\ndata: x\n\n')
        assert events.last_event == expected

    @given(st.sets(st.integers(0, len(EVENTS))))
    def test_any_pieces(self, cuts):
        """The events don't depend on how the stream is cut into pieces."""
        events = EventBuffer(last_event=None)
        edges = [0, *sorted(cuts), len(EVENTS)]
        pieces = [EVENTS[start:end] for start, end in itertools.pairwise(edges)]
        given_out = [events.add(piece) for piece in pieces]
        assert b''.join(given_out) == EVENTS
        assert events.last_event == '4'
        assert not events.has_rest

    def test_endless_event(self):
        """An event without end is given up, whatever the pieces are."""
        events = EventBuffer(last_event='3')
        assert events.add(b'id: 4\ndata: x\n\n')
        with pytest.raises(AnswerCutError):
            list(map(events.add, [b'xx'] * EVENT_BYTES))
        assert events.last_event == '4'

    def test_end_in_two_pieces(self):
        """The end of an event may be cut anywhere."""
        events = EventBuffer(last_event=None)
        assert events.add(b'id: 1\ndata: x\n') == b''
        assert events.add(b'\n') == b'id: 1\ndata: x\n\n'


def read_answer(events: EventBuffer, body: bytes, cuts: set[int]) -> bytes:
    """Return what a buffer gives out of one answer until it rejects it."""
    edges = [0, *sorted(cut for cut in cuts if cut < len(body)), len(body)]
    given_out = b''
    try:
        events.begin_answer(HEAD)
        for start, end in itertools.pairwise(edges):
            given_out += events.add(body[start:end])
        events.end_answer()
    except AnswerCutError:
        events.drop_rest()
    return given_out


class TestAnswers:
    """Streams of several answers."""

    @given(
        st.lists(
            st.tuples(
                st.lists(st.integers(0, 9), max_size=6),
                st.sets(st.integers(1, 60)),
            ),
            min_size=2,
            max_size=4,
        )
    )
    def test_ids_increase(self, answers):
        """What later answers add has increasing ids, however it is cut."""
        events = EventBuffer(last_event=None)
        begun: list[int] = []
        for ids, cuts in answers:
            body = b''.join(b'id: %d\ndata: x\n\n' % each for each in ids)
            given_out = read_answer(events, body, cuts)
            added = [
                int(event.partition(b'\n')[0][3:])
                for event in given_out.split(b'\n\n')[:-1]
            ]
            if begun:
                increasing = [begun[-1], *added]
                assert all(
                    earlier < later
                    for earlier, later in itertools.pairwise(increasing)
                )
            begun += added

    def test_each_answer_needs_an_event(self):
        """An earlier continuation makes no later one complete."""
        events = EventBuffer(last_event=None)
        for body in (b'id: 1\n\n', b'id: 2\n\n'):
            events.begin_answer(HEAD)
            assert events.add(body) == body
            events.end_answer()
        events.begin_answer(HEAD)
        with pytest.raises(AnswerCutError):
            events.end_answer()

    def test_rest_of_another_answer(self):
        """The incomplete event of one answer is not joined to the next."""
        events = EventBuffer(last_event=None)
        events.begin_answer(HEAD)
        assert events.add(b'id: 1\n\nid: 2\nda') == b'id: 1\n\n'
        events.begin_answer(HEAD)
        assert events.add(b'id: 2\n\n') == b'id: 2\n\n'
