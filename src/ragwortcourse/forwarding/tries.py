"""Progress of one request over the targets that it is sent to."""

import dataclasses
import math
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.admission import choose_retry_after
from ragwortcourse.forwarding.call import PermittedCall
from ragwortcourse.forwarding.call_kind import CallKind
from ragwortcourse.forwarding.caller_timeouts import (
    DELIVERY_SECONDS,
    find_longest_gap,
)
from ragwortcourse.forwarding.choice import choose_service, read_demand
from ragwortcourse.forwarding.choice_refusals import choose_return
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.reply import (
    STOPPING,
    Reason,
    Refusal,
    WholeAnswer,
)
from ragwortcourse.forwarding.route import Route
from ragwortcourse.forwarding.tries_end import TriesEnd
from ragwortcourse.forwarding.try_history import TryHistory
from ragwortcourse.forwarding.urgency import Standing
from ragwortcourse.identifiers import ServiceName, TargetName

# Additional targets that may be tried if others did not run the request.
DECLINES_ALLOWED: Final = 2
# Share of the retry budget that requests at silent targets may use: most of
# these go on, while a lost request needs its retry.
BESIDE_SHARE: Final = 0.5
# A target that did not run a request may have a free slot after this time.
DECLINED_RETRY_SECONDS: Final = 0.2
# Time in which other daemons answer a wish for retries, also if one message is
# lost, and the part of the time left that a request may wait for them.
RETRY_WAIT_SECONDS: Final = 1.0
RETRY_WAIT_SHARE: Final = 0.25
NOTHING_SAID: Final = 'nothing'
# Timers fire at most this early.
TIMER_SECONDS: Final = 0.001


class Tries:
    """Progress of one request, shared by all targets that have it.

    ``tried`` are the targets to which the request was sent, in order.
    ``sends`` counts them, and ``runs`` those that may have run the request.
    ``failure`` is the last failure that a target answered.
    ``moved`` is true once a target did not serve the request.
    ``was_misdirected`` is true once another incarnation answered. ``was_late``
    is true if the objective could no longer be met when the request arrived.

    :param work: the permitted call.
    """

    def __init__(self, *, forwarder: Forwarder, work: PermittedCall) -> None:
        self.forwarder = forwarder
        self.work = work
        self.suspects = work.list_suspects()
        self.service: ServiceName = choose_service(forwarder, work)
        self.runs = 0
        self.sends = 0
        self.tried: list[TargetName] = []
        self.failure: WholeAnswer | None = None
        self.moved = False
        self.was_misdirected = False
        self.history = TryHistory(
            heard_at=work.call.arrived_at, asked_at=work.call.arrived_at
        )
        self.was_late = self.is_late
        if not self.was_late:
            forwarder.scheduling.note_arrival(self.service, work)
        self._waited: float = 0

    @property
    def may_have_run(self) -> bool:
        """Tell whether a target may have run the request.

        A refusal can then no longer state that the request did not run.
        """
        return self.runs > 0

    @property
    def is_late(self) -> bool:
        """Tell whether the objective can no longer be met."""
        return read_demand(self.forwarder, self.work).time_left <= 0

    @property
    def gap_left(self) -> float:
        """Seconds in which the first event of a stream still finds its caller.

        Infinite for all other requests, and for streams that have begun: the
        end of their callers' patience tells callers nothing new.
        """
        is_stream = self.work.route.kind is CallKind.STREAMING
        if not is_stream or self.history.first_at is not None:
            return math.inf
        gap = find_longest_gap(self.work.route) - DELIVERY_SECONDS
        left = self.history.heard_at + gap - read_clock()
        return left if left > TIMER_SECONDS else 0

    @property
    def standing(self) -> Standing:
        """How urgent the request is beside others of its kind."""
        if self.history.first_at is not None:
            return Standing.MOVED
        return Standing.LATE if self.is_late else Standing.FRESH

    def renew_permission(self, route: Route, account: Account | None) -> bool:
        """Apply the route and account of a newer desired state.

        :return: false if the route no longer leads to the service.
        """
        if route is self.work.route and account is self.work.account:
            return True
        is_kept = route.kind is self.work.route.kind
        self.work = dataclasses.replace(self.work, route=route, account=account)
        return is_kept and any(
            share.service == self.service and share.weight > 0
            for share in route.services
        )

    def find_end(self, *, beside: bool = False) -> TriesEnd | None:
        """Find why no further target may be tried; none if one may.

        :param beside: true if silent targets have the request. The last
            sending is kept for the case that they break off.
        """
        route = self.work.route
        if self.runs and not route.may_repeat:
            return TriesEnd.ONCE
        if self.runs >= route.max_tries:
            return TriesEnd.RUNS
        admission = self.forwarder.safeguards.crash_admission
        if self.runs and not admission.allows_repeat(self.suspects):
            return TriesEnd.SUSPECT
        if self.sends + beside >= route.max_tries + DECLINES_ALLOWED:
            return TriesEnd.DECLINED
        return None

    def find_refusal(
        self, *, beside: bool = False
    ) -> Refusal | TriesEnd | None:
        """Find why the request may not be sent on; none if it may.

        This takes a retry from the budget.

        :param beside: true if silent targets have the request.
        """
        if not self.runs and not self.forwarder.may_finish(self.work.deadline):
            return STOPPING
        safeguards = self.forwarder.safeguards
        # A request may have waited for its target.
        refusal = safeguards.crash_admission.check(self.suspects, running=1)
        if refusal is not None:
            return refusal
        share = BESIDE_SHARE if beside else 1
        if self.sends and not safeguards.retry_budget.try_spend(share=share):
            return TriesEnd.BUDGET
        return None

    async def await_retry(self, *, beside: bool) -> None:
        """Wait until a retry is left, or too long for other daemons to lend.

        A request that has not run is refused at once, as its caller may send
        it again.

        :param beside: true if silent targets have the request.
        """
        budget = self.forwarder.safeguards.retry_budget
        is_lost = self.may_have_run and not beside
        while is_lost and not budget.count_left():
            wait = self._read_retry_wait()
            began_at = read_clock()
            is_lost = await budget.wait_for_grant(wait)
            self._waited += read_clock() - began_at

    def count_sent(self, target: TargetName, now: float) -> None:
        """Count a target that gets the request, and that may run it."""
        if not self.sends:
            self.forwarder.safeguards.retry_budget.count_first_try()
            self.history.sent_at = now
        self.history.asked_at = now
        self.sends += 1
        self.runs += 1
        self.tried.append(target)
        self.history.said[target] = NOTHING_SAID

    def count_not_run(self) -> None:
        """Take back the run of a target that did not run the request."""
        self.runs -= 1

    def run_out(self) -> Refusal:
        """Build the refusal of a request whose caller is about to leave."""
        cause = TriesEnd.TIME if self.gap_left else TriesEnd.GAP
        if not self.may_have_run:
            return self.give_up(cause)
        return Refusal(
            reason=Reason.TIMED_OUT,
            inputs={
                'ended_by': cause,
                'targets': self.tried,
                'runs': self.runs,
            },
        )

    def give_up(self, cause: Refusal | TriesEnd | None) -> Refusal:
        """Build the refusal that ends the tries.

        :param cause: why there is no further target.
        """
        if isinstance(cause, Refusal):
            is_free = not self.may_have_run and cause is STOPPING
            if is_free or not self.sends:
                return cause
            inputs = {**cause.inputs, 'ended_by': cause.reason}
        else:
            inputs = {'ended_by': cause}
        inputs |= {'targets': self.tried, 'runs': self.runs}
        if self.may_have_run:
            return Refusal(reason=Reason.FAILED, inputs=inputs)
        if self.was_misdirected:
            # A target needs about a second to reload lost weights, and the
            # entry daemons learn of the reload as much later. Callers retry
            # only once.
            wait = choose_retry_after(
                time_left=max(self.work.deadline - read_clock(), 0),
                chance=self.forwarder.rng.random(),
            )
        else:
            wait = choose_return(
                self.forwarder, self.service, DECLINED_RETRY_SECONDS
            )
        return Refusal(reason=Reason.NOT_RUN, retry_after=wait, inputs=inputs)

    def _read_retry_wait(self) -> float:
        time_left = self.work.deadline - read_clock()
        return min(
            RETRY_WAIT_SECONDS - self._waited,
            time_left * RETRY_WAIT_SHARE,
            self.gap_left,
        )
