"""Requests of callers, before and after the permission check."""

import dataclasses
from typing import Final

from multidict import CIMultiDict

from ragwortcourse.crashes.fingerprint import compute_fingerprint
from ragwortcourse.crashes.suspect import Suspect, SuspectKind
from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.route import Route
from ragwortcourse.identifiers import (
    AttemptId,
    ClientAccountName,
    PromptPartId,
    RegionName,
)

NO_ACCOUNT: Final = ClientAccountName('')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A request as it was received, without its body.

    :param attempt: attempt id sent by the caller; none if absent.
    :param path: path without the query, as received.
    :param path_and_query: path and query, as received.
    :param time_left: seconds that the caller waits; none if not given.
    :param key: key of a client account; none if absent.
    :param prompt_tokens: zero if the request generates no tokens.
    :param answer_tokens: maximum number of tokens of the answer.
    :param shared_parts: parts of the prompt that other requests may share, in
        order.
    :param last_event: id of the last event of a stream that the caller has
        received; none for a new stream.
    :param headers: headers to pass on to the target.
    :param arrived_at: monotonic seconds.
    :param expected_tokens: tokens of the answer by the caller's estimate; none
        if not given.
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
    shared_parts: tuple[PromptPartId, ...]
    last_event: str | None
    headers: CIMultiDict[str]
    arrived_at: float
    expected_tokens: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermittedCall:
    """A call that passed the permission check.

    :param account: none on public routes and in fleets without client
        accounts.
    :param deadline: monotonic seconds at which the final answer is due, so
        that its caller still hears it.
    """

    call: Call
    route: Route
    account: Account | None
    body: bytes
    deadline: float

    def list_homes(self) -> tuple[frozenset[RegionName], ...]:
        """List the regions that the route and the account allow.

        An empty set allows all.
        """
        if self.account is None:
            return (self.route.regions,)
        return self.route.regions, self.account.regions

    def list_suspects(self) -> tuple[Suspect, ...]:
        """List what may crash targets: the request, and parts of its prompt.

        A part counts under its id alone, whatever else its requests hold.
        """
        fingerprint = compute_fingerprint(
            account=NO_ACCOUNT if self.account is None else self.account.name,
            method=self.call.method,
            path=self.call.path_and_query,
            body=self.body,
        )
        return (
            Suspect(kind=SuspectKind.REQUEST, name=fingerprint),
            *(
                Suspect(kind=SuspectKind.PROMPT_PART, name=part)
                for part in self.call.shared_parts
            ),
        )
