"""Port through which one daemon reaches another."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Final

from ragwortcourse.identifiers import AttemptId, Generation, Sha256Hex
from ragwortcourse.messages.attempt import Attempt, AttemptOutcome
from ragwortcourse.messages.attempt_report import AttemptReport
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.target_status import TargetStatus

BAR_TIMEOUT_SECONDS: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerUnavailable:
    """The other daemon did not answer in time, or not in full."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentPort:
    """What an entry daemon asks of an agent, by its ``ip:port``.

    :param start: run one attempt.
    :param bar: report an attempt sent so many seconds ago, and bar it if
        it never started. The report counts only within
        ``BAR_TIMEOUT_SECONDS`` of the call.
    :param heartbeat: tell the own state and get the target's.
    """

    start: Callable[[str, Attempt], Awaitable[AttemptOutcome]]
    bar: Callable[
        [str, AttemptId, float],
        Awaitable[AttemptReport | PeerUnavailable],
    ]
    heartbeat: Callable[
        [str, Heartbeat],
        Awaitable[TargetStatus | PeerUnavailable],
    ]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonPort:
    """What any daemon asks of any other, by its ``ip:port``.

    :param fetch_index: the index of a generation, or of a newer one.
    :param fetch_part: a part of the generation in force there, by digest.
    :param exchange: tell the own state to an entry daemon, get its state.
    """

    fetch_index: Callable[[str, Generation], Awaitable[bytes | PeerUnavailable]]
    fetch_part: Callable[[str, Sha256Hex], Awaitable[bytes | PeerUnavailable]]
    exchange: Callable[[str, Heartbeat], Awaitable[Heartbeat | PeerUnavailable]]
