"""How calls and answers are written on the wire, as the adapter knows it."""

import dataclasses
from collections.abc import Callable, Mapping

from aiohttp import web
from multidict import CIMultiDict

from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.call import Call, PermittedCall
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import AttemptId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """What a target is told beside the request itself.

    :param time_left: seconds.
    :param last_event: event after which a stream goes on.
    :param rank: order in which the target admits waiting requests, zero
        first; none leaves it to the target.
    """

    target: Target
    time_left: float
    last_event: str | None = None
    rank: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireFormat:
    """Translation between the wire and typed messages."""

    read_call: Callable[[web.Request], Call]
    write_headers: Callable[[PermittedCall, Dispatch], CIMultiDict[str]]
    read_head: Callable[[int, Mapping[str, str], AttemptId | None], AnswerHead]
