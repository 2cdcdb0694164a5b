"""Records of requests, runs and faults in a soak."""

import dataclasses
import enum

from fakes.soak_watch import Stall


class Kind(enum.StrEnum):
    """Kinds of requests, each the name and path prefix of a route."""

    CHARGE = 'charges'
    LOOKUP = 'lookups'
    LETTER = 'letters'


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """One request as its caller saw it.

    :param sent_at: monotonic seconds.
    :param ended_at: monotonic seconds.
    :param status: HTTP status; none without a complete answer.
    :param body: complete body, or the event ids of a stream, separated by
        spaces.
    """

    attempt: str
    kind: Kind
    key: str
    daemon: str
    path: str
    sent_at: float
    ended_at: float = 0
    status: int | None = None
    stamp: str = ''
    body: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetRun:
    """One run of a request at a target.

    :param key_seen: true if the API key reached the target.
    :param version: version of the weights at the start of the run; zero at
        plain targets.
    :param at: start of the run in monotonic seconds.
    """

    attempt: str
    target: str
    domain: str
    account: str
    path: str
    key_seen: bool
    version: int
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

    :param revoked: time at which the store had the revocation, by API key.
    :param withdrawn: failure domain, start and end of each withdrawal.
    :param named: time at which operators set each version of the weights.
    :param stalls: stalls of the event loop of the soak; they excuse no
        violation.
    :param spoilt_loads: target and version of each load of damaged weights.
    :param calm_from: end of the random faults.
    """

    requests: list[SentRequest] = dataclasses.field(default_factory=list)
    runs: list[TargetRun] = dataclasses.field(default_factory=list)
    faults: list[InjectedFault] = dataclasses.field(default_factory=list)
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    withdrawn: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    named: dict[int, float] = dataclasses.field(default_factory=dict)
    stalls: list[Stall] = dataclasses.field(default_factory=list)
    spoilt_loads: list[str] = dataclasses.field(default_factory=list)
    calm_from: float = 0
