"""Choice of the target of a request that may have to wait for its turn."""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import (
    TIMELY_SHARE,
    Demand,
    choose_retry_after,
    estimate_start_seconds,
)
from ragwortcourse.forwarding.call import NO_ACCOUNT
from ragwortcourse.forwarding.choice import read_demand
from ragwortcourse.forwarding.permission import permit_call
from ragwortcourse.forwarding.reply import STOPPING, Reason, Refusal
from ragwortcourse.forwarding.scheduling.expected_turn import (
    estimate_capacity,
    estimate_turn,
)
from ragwortcourse.forwarding.scheduling.scheduling import list_kinds
from ragwortcourse.forwarding.scheduling.scheduling_metrics import (
    RefusalCause,
    count_refusal,
    record_wait,
)
from ragwortcourse.forwarding.scheduling.service_scheduling import (
    ServiceScheduling,
)
from ragwortcourse.forwarding.scheduling.waiting_queue import LATE
from ragwortcourse.forwarding.scheduling.waiting_request import WaitingRequest
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.tries import Tries
from ragwortcourse.forwarding.urgency import read_urgency

# A late request that is sent later than this before its caller leaves begins
# too late for it.
LAST_SECONDS: Final = 0.5

Choose = Callable[[], Target | Refusal]


class Turn:
    """Turn of one request of a service that is scheduled by urgency.

    :param choose: chooses the target as of now.
    """

    def __init__(
        self, *, tries: Tries, known: ServiceScheduling, choose: Choose
    ) -> None:
        self._tries = tries
        self._known = known
        self._choose = choose
        self._urgency = (
            LATE
            if tries.is_late
            else read_urgency(
                route=tries.work.route, account=tries.work.account
            )
        )

    async def choose(self) -> Target | Refusal:
        """Choose the target at once, or when it is the request's turn."""
        queue = self._known.queue
        if not queue.has_ahead(self._urgency):
            chosen = self._choose()
            if not _is_crowded(chosen):
                return chosen
        cause = self._find_cause()
        if cause is not None:
            return self._refuse(cause)
        return await self._wait()

    async def _wait(self) -> Target | Refusal:
        began_at = read_clock()
        fresh_until = began_at + self._read_useful_seconds()
        leaves_at = self._read_leaving()
        is_late = self._urgency == LATE
        request = WaitingRequest(
            ticket=self._make_ticket(leaves_at if is_late else fresh_until),
            urgency=self._urgency,
            size=len(self._tries.work.body),
            fresh_until=fresh_until,
            leaves_at=leaves_at,
            offer=self._offer,
            may_stay=lambda: self._is_of_use(LATE),
            refuse=lambda: self._refuse(RefusalCause.MISSED),
            verdict=asyncio.get_running_loop().create_future(),
            homes=self._tries.work.list_homes(),
        )
        try:
            return await self._known.queue.wait(request)
        finally:
            self._note_end(request, began_at)

    def _note_end(self, request: WaitingRequest, began_at: float) -> None:
        verdict, now = request.verdict, read_clock()
        is_decided = verdict.done() and not verdict.cancelled()
        is_served = is_decided and isinstance(verdict.result(), Target)
        if is_decided:
            # A caller that leaves tells nothing about the wait of others.
            self._known.confidence.note(self._urgency, now, is_served=is_served)
        record_wait(self._urgency, now - began_at, is_served=is_served)

    def _offer(self) -> Target | Refusal | None:
        """Choose the target as of now; none while there is no room.

        The desired state may have changed since the request came.
        """
        forwarder, work = self._tries.forwarder, self._tries.work
        permitted = permit_call(forwarder.state, forwarder.fleet, work.call)
        if isinstance(permitted, Refusal):
            return permitted
        route, account = permitted
        if not self._tries.renew_permission(route, account):
            return self._refuse(RefusalCause.MOVED)
        chosen = self._choose()
        return None if _is_crowded(chosen) else chosen

    def _find_cause(self) -> RefusalCause | None:
        """Find why a request does not wait; none if it does."""
        forwarder = self._tries.forwarder
        if forwarder.closing:
            return RefusalCause.STOPPING
        size = len(self._tries.work.body)
        limit = forwarder.scheduling.count_slots(self._tries.service)
        if not self._known.queue.has_room(size, limit):
            return RefusalCause.FULL
        if self._is_of_use(self._urgency) or self._is_of_use(LATE):
            return None
        return RefusalCause.TOO_LONG

    def _is_of_use(self, urgency: int) -> bool:
        """Tell whether a request is expected to be sent while it is of use.

        :param urgency: with which it waits.
        """
        seconds = (
            self._read_leaving() - read_clock()
            if urgency == LATE
            else self._read_useful_seconds()
        )
        share = self._known.confidence.read(urgency, read_clock())
        return self._estimate(urgency) <= seconds * share

    def _estimate(self, urgency: int) -> float:
        known, tries = self._known, self._tries
        if known.place is None:
            return 0
        if urgency != LATE and known.shares.is_due(list_kinds(tries.work)):
            urgency = 0
        scheduling = tries.forwarder.scheduling
        others = scheduling.others.sum(tries.service, read_clock()).waiting
        return estimate_turn(
            capacity=estimate_capacity(
                known.place, scheduling.count_slots(tries.service)
            ),
            rates=scheduling.read_rates(tries.service),
            urgency=urgency,
            waiting=[
                own + told
                for own, told in zip(known.queue.count(), others, strict=True)
            ],
        )

    def _read_useful_seconds(self) -> float:
        """Read the seconds in which a request may be sent to begin in time."""
        demand = read_demand(self._tries.forwarder, self._tries.work)
        return demand.time_left * TIMELY_SHARE - self._estimate_start(demand)

    def _estimate_start(self, demand: Demand) -> float:
        place = self._known.place
        return 0 if place is None else estimate_start_seconds(place, demand)

    def _read_leaving(self) -> float:
        now = read_clock()
        patience = min(self._tries.work.deadline, now + self._tries.gap_left)
        return patience - min(LAST_SECONDS, (patience - now) / 2)

    def _make_ticket(self, sent_by: float) -> Ticket:
        account = self._tries.work.account
        return Ticket(
            account=NO_ACCOUNT if account is None else account.name,
            weight=1,
            deadline=sent_by,
            priority=-int(sent_by * 1000),
        )

    def _refuse(self, cause: RefusalCause) -> Refusal:
        count_refusal(self._urgency, cause)
        if cause is RefusalCause.STOPPING:
            return STOPPING
        forwarder, work = self._tries.forwarder, self._tries.work
        wait = choose_retry_after(
            time_left=work.deadline - read_clock(),
            chance=forwarder.rng.random(),
        )
        expected = self._estimate(self._urgency)
        return Refusal(
            reason=Reason.OVERLOADED,
            retry_after=max(wait, 0),
            inputs={
                'cause': cause,
                'urgency': self._urgency,
                'waiting': self._known.queue.count(),
                # JSON has no infinity.
                'expected_wait': expected if math.isfinite(expected) else None,
            },
        )


def _is_crowded(chosen: Target | Refusal) -> bool:
    return isinstance(chosen, Refusal) and chosen.reason is Reason.OVERLOADED
