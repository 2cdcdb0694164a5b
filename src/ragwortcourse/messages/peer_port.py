"""Ports for calls from one daemon to another."""

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
    """Failure of a call: no answer in time, or an unusable answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentPort:
    """Calls of an entry daemon to an agent, by the agent's ``ip:port``.

    :param start: runs one attempt.
    :param bar: reports on an attempt and prevents the attempt from starting
        later. The last argument is the seconds since the attempt was sent.
        The report is valid only if it arrives within
        ``BAR_TIMEOUT_SECONDS`` of the call.
    :param heartbeat: sends the caller's state and returns the target's.
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
    """Calls of any daemon to any other, by the callee's ``ip:port``.

    :param fetch_index: fetches the configuration index of a generation or
        of a newer generation.
    :param fetch_part: fetches, by digest, a part of the configuration in
        force at the callee.
    :param exchange: sends the caller's state to an entry daemon and returns
        that daemon's state.
    """

    fetch_index: Callable[[str, Generation], Awaitable[bytes | PeerUnavailable]]
    fetch_part: Callable[[str, Sha256Hex], Awaitable[bytes | PeerUnavailable]]
    exchange: Callable[[str, Heartbeat], Awaitable[Heartbeat | PeerUnavailable]]
