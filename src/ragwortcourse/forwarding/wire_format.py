"""Interface of the adapter that translates calls and answers to the wire."""

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
    """Values that are sent to a target along with the request.

    :param time_left: seconds until the final answer is due.
    :param last_event: id of the event after which a stream continues.
    :param version: version of the weights that the target has to hold; none:
        any.
    :param rank: order in which the target admits waiting requests, zero
        first; none: the target decides.
    """

    target: Target
    time_left: float
    last_event: str | None = None
    rank: int | None = None
    version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireFormat:
    """Functions that translate between the wire and typed messages."""

    read_call: Callable[[web.Request], Call]
    write_headers: Callable[[PermittedCall, Dispatch], CIMultiDict[str]]
    read_head: Callable[[int, Mapping[str, str], AttemptId | None], AnswerHead]
