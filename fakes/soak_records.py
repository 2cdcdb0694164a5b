"""Records of requests, runs and faults in a soak."""

import dataclasses
import enum
import json
import pathlib

from fakes.soak_watch import Stall

RECORDS_FILE = 'records.jsonl'


class Kind(enum.StrEnum):
    """Kinds of requests, each the name and path prefix of a route.

    Operators take the route of ``NOTE`` away at times.
    """

    CHARGE = 'charges'
    LOOKUP = 'lookups'
    LETTER = 'letters'
    NOTE = 'notes'


STREAMS = frozenset((Kind.LETTER, Kind.NOTE))


class Ending(enum.StrEnum):
    """How one HTTP exchange ended.

    ``COMPLETE``: with a complete answer. ``CUT``: the server closed the
    connection before that. ``LEFT``: the client did. ``UNREACHED``: there was
    no connection.
    """

    OPEN = 'open'
    COMPLETE = 'complete'
    CUT = 'cut'
    LEFT = 'left'
    UNREACHED = 'unreached'


class PlannedKind(enum.StrEnum):
    """Kinds of planned work, each the name that schedules use."""

    STOP = 'stop'
    HANG_UP = 'hang up'
    CHANGE = 'change'


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """One request as its caller saw it; moments are monotonic seconds.

    :param whole_at: time at which the last byte was sent; zero if it was not.
    :param limit: seconds after which the request may be ended: the least of
        what its caller waits and of all route timeouts that may be in force.
    :param status: HTTP status; none without a complete answer.
    :param body: body, or the event ids of a stream, separated by spaces; as
        far as it arrived.
    """

    attempt: str
    kind: Kind
    key: str
    daemon: str
    path: str
    sent_at: float
    whole_at: float = 0
    ended_at: float = 0
    limit: float = 3
    ending: Ending = Ending.OPEN
    status: int | None = None
    stamp: str = ''
    body: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetRun:
    """One run of a request at a target; moments are monotonic seconds.

    :param key_seen: true if the API key reached the target.
    :param body_intact: true if the body is the one that the caller sent.
    :param version: version of the weights at the start of the run; zero at
        plain targets.
    :param at: start of the run.
    :param ending: how it ended; the daemon is the client here.
    :param silences: begin and end of each pause.
    """

    attempt: str
    target: str
    domain: str
    account: str
    path: str
    key_seen: bool
    body_intact: bool
    version: int
    at: float
    ended_at: float = 0
    ending: Ending = Ending.OPEN
    silences: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedWork:
    """One signal, or one change of what operators have in the store.

    :param whom: the daemon that was signalled; empty for a change.
    :param at: monotonic seconds; a change is acknowledged at once.
    """

    kind: PlannedKind
    whom: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InjectedFault:
    """One fault that was injected.

    :param whom: affected daemon or target; empty if all are affected.
    :param began_at: monotonic seconds.
    :param ended_at: monotonic seconds.
    """

    name: str
    whom: str
    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Records:
    """All records of one soak; moments are monotonic seconds.

    :param planned: signals and changes by operators, in order of time.
    :param revoked: time at which the store had the revocation, by API key.
    :param withdrawn: failure domain, start and end of each withdrawal.
    :param departures: target, start and end of each time for which the store
        told that it leaves or had left; it serves what reaches it.
    :param named: time at which operators set each version of the weights.
    :param stalls: stalls of the event loop of the soak; they excuse no
        violation.
    :param spoilt_loads: target, time, version and chunks of each load of
        damaged weights.
    :param loads: number of loads that engines began.
    :param troubles: trouble of engines with calls of their loaders; it
        excuses nothing.
    :param crashes: times at which targets crashed under a request.
    :param crash_requests: requests that crash targets, by attempt.
    :param crash_runs: attempt and start of each run of these.
    :param calm_from: end of the random faults.
    """

    requests: list[SentRequest] = dataclasses.field(default_factory=list)
    runs: list[TargetRun] = dataclasses.field(default_factory=list)
    faults: list[InjectedFault] = dataclasses.field(default_factory=list)
    planned: list[PlannedWork] = dataclasses.field(default_factory=list)
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    withdrawn: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    departures: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    named: dict[int, float] = dataclasses.field(default_factory=dict)
    stalls: list[Stall] = dataclasses.field(default_factory=list)
    spoilt_loads: list[str] = dataclasses.field(default_factory=list)
    loads: int = 0
    troubles: list[InjectedFault] = dataclasses.field(default_factory=list)
    crashes: list[float] = dataclasses.field(default_factory=list)
    crash_requests: dict[str, SentRequest] = dataclasses.field(
        default_factory=dict
    )
    crash_runs: list[tuple[str, float]] = dataclasses.field(
        default_factory=list
    )
    calm_from: float = 0


def write_records(
    folder: pathlib.Path, records: Records, findings: list[str]
) -> None:
    """Write findings, requests, runs and what was done, one in a line."""
    kept: tuple[SentRequest | TargetRun | PlannedWork | InjectedFault, ...] = (
        *records.requests,
        *records.crash_requests.values(),
        *records.runs,
        *records.planned,
        *records.faults,
        *records.troubles,
    )
    lines = [
        json.dumps({type(each).__name__: dataclasses.asdict(each)})
        for each in kept
    ]
    lines.extend(json.dumps({'finding': each}) for each in findings)
    (folder / RECORDS_FILE).write_text('\n'.join(lines))
