"""Tests of :mod:`ragwortcourse.forwarding.event_buffer`."""

import contextlib
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


def read_answer(
    body: bytes, cuts: set[int], *, last_event: str | None, is_first: bool
) -> tuple[bytes, str | None]:
    """Return what is given out of one answer until it is rejected.

    :return: the events and the id of the last one.
    """
    events = EventBuffer(
        last_event=last_event, first=None if is_first else HEAD
    )
    edges = [0, *sorted(cut for cut in cuts if cut < len(body)), len(body)]
    given_out = b''
    with contextlib.suppress(AnswerCutError):
        events.check_head(HEAD)
        for start, end in itertools.pairwise(edges):
            given_out += events.add(body[start:end])
        events.check_end()
    return given_out, events.last_event


class TestContinuation:
    """Answers that continue a stream."""

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
        last_event: str | None = None
        begun: list[int] = []
        for ids, cuts in answers:
            body = b''.join(b'id: %d\ndata: x\n\n' % each for each in ids)
            given_out, last_event = read_answer(
                body, cuts, last_event=last_event, is_first=not begun
            )
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

    def test_needs_an_event(self):
        """An answer without an event completes no stream."""
        events = EventBuffer(last_event='1', first=HEAD)
        events.check_head(HEAD)
        with pytest.raises(AnswerCutError):
            events.check_end()
        assert events.add(b'id: 2\n\n') == b'id: 2\n\n'
        events.check_end()

    def test_needs_a_last_event(self):
        """A stream without an id can't be continued."""
        events = EventBuffer(last_event=None, first=HEAD)
        with pytest.raises(AnswerCutError):
            events.check_head(HEAD)
