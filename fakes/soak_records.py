"""What callers and targets of a soak saw."""

import dataclasses
import enum

from fakes.soak_watch import Stall


class Kind(enum.StrEnum):
    """Kinds of requests; all routes of one kind have its prefix."""

    CHARGE = 'charges'
    LOOKUP = 'lookups'
    LETTER = 'letters'


@dataclasses.dataclass(slots=True, kw_only=True)
class Asked:
    """One request as its caller saw it.

    :param status: none where no answer came, or it broke off.
    :param body: whole body, or the ids of the events.
    :param ended_at: monotonic seconds, as is ``sent_at``.
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
class Ran:
    """One run at a target.

    :param version: weights on which it began; zero at plain targets.
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
class Trouble:
    """A fault as it was injected.

    :param whom: daemon or target; empty for all.
    """

    name: str
    whom: str
    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Records:
    """Everything of one soak.

    :param revoked: when each key was taken away, by the store's answer.
    :param withdrawn: spans in which a failure domain was to get no work.
    :param named: when each version of the weights was named.
    :param stalls: when the soak's own loop stood still; it excuses nothing.
    """

    asked: list[Asked] = dataclasses.field(default_factory=list)
    ran: list[Ran] = dataclasses.field(default_factory=list)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    withdrawn: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    named: dict[int, float] = dataclasses.field(default_factory=dict)
    stalls: list[Stall] = dataclasses.field(default_factory=list)
    spoilt_loads: list[str] = dataclasses.field(default_factory=list)
    calm_from: float = 0
