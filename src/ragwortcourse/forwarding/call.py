"""One request of a caller."""

import dataclasses

from multidict import CIMultiDict

from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.route import Route
from ragwortcourse.identifiers import AttemptId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A request as it was received, before its body.

    :param attempt: the caller's id; none where it sent none.
    :param path: without the query, as it was received.
    :param path_and_query: path and query, as they were received.
    :param time_left: seconds that the caller waits; none where it did not
        say.
    :param prompt_tokens: zero where the request is no generation.
    :param answer_tokens: most tokens of the answer.
    :param last_event: last event of a stream that the caller has.
    :param headers: headers to be passed on.
    :param arrived_at: monotonic seconds.
    """

    attempt: AttemptId | None
    method: str
    host: str
    path: str
    path_and_query: str
    time_left: float | None
    key: str | None
    prompt_tokens: int
    answer_tokens: int
    last_event: str | None
    headers: CIMultiDict[str]
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermittedCall:
    """A call that may be served.

    :param account: none on public routes.
    :param deadline: monotonic seconds of its final answer.
    """

    call: Call
    route: Route
    account: Account | None
    body: bytes
    deadline: float
