"""Log lines and metrics of each request."""

import logging
import zlib
from typing import Final, NamedTuple

from opentelemetry import metrics

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.call import Call
from ragwortcourse.forwarding.reply import Refusal
from ragwortcourse.forwarding.tries import Tries

# One in this many requests that were served by their first target is logged.
# The attempt id selects them, so that all daemons log the same requests.
SAMPLED_ONE_IN: Final = 32

LOGGER: Final = logging.getLogger(__name__)
METER: Final = metrics.get_meter(__name__)
REQUESTS: Final = METER.create_counter(
    'ragwortcourse.forwarding.requests',
    description='requests by their final answer',
)
TRIES: Final = METER.create_counter(
    'ragwortcourse.forwarding.tries',
    description='targets that requests were sent to',
)
DURATION: Final = METER.create_histogram(
    'ragwortcourse.forwarding.duration',
    unit='s',
    description='from the arrival of a request to the end of its answer',
)

WAITING: Final = METER.create_histogram(
    'ragwortcourse.forwarding.waiting',
    unit='s',
    description='from the arrival of a request to its first sending',
)
FIRST_EVENT: Final = METER.create_histogram(
    'ragwortcourse.forwarding.first_event',
    unit='s',
    description='from the arrival of a request to the first event of a stream',
)


class Awaited(NamedTuple):
    """What the caller of a request waits for.

    :param since: monotonic seconds.
    """

    what: str
    since: float


def is_sampled(call: Call) -> bool:
    """Tell whether a request is logged although its first target served it."""
    return zlib.crc32((call.attempt or '').encode()) % SAMPLED_ONE_IN == 0


def note_refused(call: Call, refusal: Refusal) -> None:
    """Log and count a refusal by the entry daemon."""
    seconds = read_clock() - call.arrived_at
    REQUESTS.add(1, {'answer': refusal.reason.name.lower()})
    DURATION.record(seconds, {'answer': 'own'})
    LOGGER.info(
        'refused',
        extra={
            'request': call.attempt,
            'path': call.path,
            'status': refusal.status.value,
            'reason': refusal.reason,
            'retry_after': refusal.retry_after,
            'seconds': seconds,
            **refusal.inputs,
        },
    )


def note_answered(tries: Tries, status: int) -> None:
    """Count a target's answer; log moved requests and a sample of others."""
    call = tries.work.call
    seconds = read_clock() - call.arrived_at
    REQUESTS.add(1, {'answer': str(status)})
    TRIES.add(len(tries.tried))
    DURATION.record(seconds, {'answer': 'target'})
    if tries.history.sent_at is not None:
        WAITING.record(tries.history.sent_at - call.arrived_at)
    if tries.history.first_at is not None:
        FIRST_EVENT.record(tries.history.first_at - call.arrived_at)
    if tries.moved or is_sampled(call):
        LOGGER.info(
            'answered',
            extra={
                'request': call.attempt,
                'route': tries.work.route.name,
                'status': status,
                'targets': tries.tried,
                'runs': tries.runs,
                'first_seconds': (
                    tries.history.first_at
                    and tries.history.first_at - call.arrived_at
                ),
                'late_already': tries.was_late,
                'seconds': seconds,
            },
        )


def note_left(
    call: Call, tries: Tries | None = None, detail: str | None = None
) -> None:
    """Log and count a caller that left before the end of its answer.

    :param tries: progress of the request; none if it was not yet whole.
    :param detail: error of a write to the caller; none without one.
    """
    now = read_clock()
    awaited = _find_awaited(call, tries)
    REQUESTS.add(1, {'answer': 'left'})
    LOGGER.info(
        'caller left before its answer',
        extra={
            'request': call.attempt,
            'path': call.path,
            'waited_for': awaited.what,
            'waited_seconds': now - awaited.since,
            'seconds': now - call.arrived_at,
            'time_left': call.time_left,
            'targets': () if tries is None else tries.tried,
            'said': {} if tries is None else tries.history.said,
            'runs': 0 if tries is None else tries.runs,
            'detail': detail,
        },
    )


def _find_awaited(call: Call, tries: Tries | None) -> Awaited:
    if tries is None:
        return Awaited(what='rest of the request', since=call.arrived_at)
    if tries.history.first_at is not None:
        # While a part is passed on, the caller itself is late.
        since = min(tries.history.heard_at, read_clock())
        return Awaited(what='rest of the answer', since=since)
    if tries.may_have_run:
        return Awaited(what='answer of a target', since=tries.history.asked_at)
    return Awaited(what='place at a target', since=call.arrived_at)


def note_broken(call: Call, refusal: Refusal) -> None:
    """Log and count an answer that was aborted after its beginning."""
    seconds = read_clock() - call.arrived_at
    REQUESTS.add(1, {'answer': 'broken'})
    LOGGER.warning(
        'answer aborted before its end',
        extra={
            'request': call.attempt,
            'reason': refusal.reason,
            'seconds': seconds,
            **refusal.inputs,
        },
    )
