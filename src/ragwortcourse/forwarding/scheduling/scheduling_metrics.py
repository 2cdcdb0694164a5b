"""Metrics of requests that are scheduled by urgency."""

import enum
from collections.abc import Iterable
from typing import Final

from opentelemetry.metrics import CallbackOptions, Observation, get_meter

from ragwortcourse.forwarding.scheduling.scheduling import Scheduling

METER: Final = get_meter(__name__)
REFUSALS: Final = METER.create_counter(
    'ragwortcourse.forwarding.scheduling_refusals',
    description='requests refused for want of room',
)
WAITED: Final = METER.create_histogram(
    'ragwortcourse.forwarding.scheduling_wait',
    unit='s',
    description='time that requests waited at the daemon for a target',
)


class RefusalCause(enum.StrEnum):
    """Why a request waits no longer, or not at all."""

    TOO_LONG = 'too_long'
    FULL = 'full'
    MISSED = 'missed'
    MOVED = 'moved'
    STOPPING = 'stopping'


def count_refusal(urgency: int, cause: RefusalCause) -> None:
    """Count a refusal.

    :param urgency: of the request; after the least urgent one: late.
    """
    REFUSALS.add(1, {'urgency': str(urgency), 'cause': cause})


def record_wait(urgency: int, seconds: float, *, is_served: bool) -> None:
    """Record how long a request waited, and whether it got a target."""
    WAITED.record(seconds, {'urgency': str(urgency), 'served': str(is_served)})


def watch_scheduling(scheduling: Scheduling) -> None:
    """Register the gauges of the scheduling of a forwarder."""

    def observe_waiting(options: CallbackOptions) -> Iterable[Observation]:
        for service, known in scheduling.services.items():
            for urgency, count in enumerate(known.queue.count()):
                yield Observation(
                    count, {'service': service, 'urgency': str(urgency)}
                )

    def observe_reserved(options: CallbackOptions) -> Iterable[Observation]:
        for service, known in scheduling.services.items():
            yield Observation(known.reserved, {'service': service})

    METER.create_observable_gauge(
        'ragwortcourse.forwarding.scheduling_waiting',
        callbacks=(observe_waiting,),
        description='requests that wait at the daemon for a target',
    )
    METER.create_observable_gauge(
        'ragwortcourse.forwarding.scheduling_reserved_slots',
        callbacks=(observe_reserved,),
        description='slots of a target kept for more urgent requests',
    )
