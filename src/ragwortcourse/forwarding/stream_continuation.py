"""What may continue a stream of which the caller has part.

The caller takes all bytes as the stream that the first target began. A target
that continues it can word a failure as a success, send no event at all, or
begin anew, and nothing in the caller's answer would show it: the failure's
text or events sent before would stand in the stream, or the stream would end
as if it were complete. An answer without events does not show that none is
missing, as only events tell where a run stands.
"""

import re
from http import HTTPStatus
from typing import Final

from ragwortcourse.bodies import read_media_type
from ragwortcourse.forwarding.answer_head import AnswerHead

EVENT_END: Final = b'\n\n'
EVENT_ID: Final = re.compile(rb'^id: ?([^\r\n]*)$', re.MULTILINE)
# Longer numbers than any counter of events has.
EVENT_NUMBER: Final = re.compile('[0-9]{1,18}')
EVENT_STREAM: Final = 'text/event-stream'


def find_head_fault(
    first: AnswerHead, following: AnswerHead, last_event: str | None
) -> str | None:
    """Return why an answer can't continue a stream; none if it may.

    :param first: head that the caller got.
    :param last_event: id of the last event that the caller got.
    """
    if _read_number(last_event) is None:
        return f'stream continued after event {last_event}'
    if following.status != HTTPStatus.OK:
        return f'stream continued with status {following.status}'
    kind = read_media_type(following.headers)
    if kind != EVENT_STREAM and read_media_type(first.headers) == EVENT_STREAM:
        return f'stream continued with content of type {kind}'
    return None


def find_event_fault(events: bytes, last_event: str | None) -> str | None:
    """Return why events can't continue a stream; none if they may.

    :param events: whole events.
    :param last_event: id of the event before them.
    """
    last = _read_number(last_event)
    for event in events.removesuffix(EVENT_END).split(EVENT_END):
        found = EVENT_ID.findall(event)
        text = found[0].decode('latin-1') if len(found) == 1 else None
        number = _read_number(text)
        if number is None or last is None or number <= last:
            return f'event with id {text} after {last}'
        last = number
    return None


def find_repeated_event(events: bytes, last_event: str | None) -> str | None:
    """Return which event a caller already has; none if there is none.

    :param events: whole events of the answer to a caller that resumes.
    :param last_event: id of the last event that the caller named.
    """
    last = _read_number(last_event)
    if last is None:
        return None
    for found in EVENT_ID.findall(events):
        number = _read_number(found.decode('latin-1'))
        if number is not None and number <= last:
            return f'event with id {number} after {last}'
    return None


def _read_number(text: str | None) -> int | None:
    if text is None or EVENT_NUMBER.fullmatch(text) is None:
        return None
    return int(text)
