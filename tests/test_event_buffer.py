"""Tests of :mod:`ragwortcourse.forwarding.event_buffer`."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.event_buffer import EVENT_BYTES, EventBuffer

EVENTS = b''.join(b'id: %d\ndata: word\n\n' % number for number in range(5))


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
