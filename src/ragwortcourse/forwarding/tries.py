"""Tries of one request at one target after another."""

import asyncio
import logging
from http import HTTPStatus
from typing import Final

from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.admission import (
    LATE_POLL_SECONDS,
    LATE_WAIT_SECONDS,
    choose_retry_after,
)
from ragwortcourse.forwarding.call import PermittedCall
from ragwortcourse.forwarding.choice import (
    choose_service,
    choose_target,
    read_demand,
)
from ragwortcourse.forwarding.choice_refusals import choose_return
from ragwortcourse.forwarding.exchange import (
    NoAnswer,
    NotSent,
    OpenAnswer,
    send_request,
)
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.forwarding.request_crashes import RequestCrashes
from ragwortcourse.forwarding.start_limit import keep_start_limit
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_load import TargetLoad
from ragwortcourse.forwarding.target_statements import note_statements
from ragwortcourse.forwarding.urgency import Standing, rank_request
from ragwortcourse.forwarding.version_bounds import read_start_limit
from ragwortcourse.forwarding.version_log import describe_version
from ragwortcourse.forwarding.wire_format import Dispatch
from ragwortcourse.identifiers import ServiceName, TargetName

# Additional targets that may be tried if others did not run the request.
DECLINES_ALLOWED: Final = 2
# Share of the time limit of a route after which a silent target is avoided. A
# try that ends sooner, as its caller left little time, tells nothing.
SILENT_SHARE: Final = 0.25
# A target that did not run a request may have a free slot after this time.
DECLINED_RETRY_SECONDS: Final = 0.2

LOGGER: Final = logging.getLogger(__name__)


class Tries:
    """Progress of one request over its tries.

    ``tried`` are the targets to which the request was sent, in order.
    ``runs`` counts the targets that may have run the request. ``moved`` is
    true once a target did not serve the request. ``was_late`` is true if the
    objective could no longer be met when the request arrived. ``sent_at`` is
    the time of the first try and ``first_at`` the time at which the response
    to the caller began, in monotonic seconds.

    :param work: the permitted call.
    """

    def __init__(self, *, forwarder: Forwarder, work: PermittedCall) -> None:
        self.forwarder = forwarder
        self.work = work
        self.crashes = RequestCrashes(
            guard=forwarder.safeguards.crash_guard,
            suspects=work.list_suspects(),
        )
        self.runs = 0
        self.tried: list[TargetName] = []
        self.moved = False
        self.sent_at: float | None = None
        self.first_at: float | None = None
        self.was_late = self.is_late
        self._asked: tuple[Target, TargetLoad] | None = None
        self._service: ServiceName = choose_service(forwarder, work)
        self._sends = 0
        self._was_misdirected = False

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

    def allows_another(self) -> bool:
        """Tell whether one more target may be tried."""
        route = self.work.route
        if self.runs >= route.max_tries:
            return False
        if self.runs and not route.may_repeat:
            return False
        admission = self.forwarder.safeguards.crash_admission
        if self.runs and not admission.allows_repeat(self.crashes.suspects):
            return False
        return self._sends < route.max_tries + DECLINES_ALLOWED

    async def open(
        self, last_event: str | None, silence: float | None
    ) -> OpenTry | Refusal:
        """Send the request to targets until one answers.

        :param last_event: id of the event after which a stream continues.
        :param silence: seconds after which a target that does not answer is
            given up; none: only the time limit of the request applies.
        """
        while self.allows_another():
            self._asked = None
            target = await self._choose()
            if isinstance(target, Refusal):
                return self._give_up(target)
            # A request may have waited for its target.
            refusal = self.forwarder.safeguards.crash_admission.check(
                self.crashes.suspects, running=1
            )
            if refusal is not None:
                return self._give_up(refusal)
            if (
                self._sends
                and not self.forwarder.safeguards.retry_budget.try_spend()
            ):
                break
            opened = await self._send(target, last_event, silence)
            if opened is not None:
                return opened
        return self._give_up(None)

    def end(self, tried: OpenTry) -> None:
        """Close a try, which cancels the request at the target."""
        tried.close()
        self.crashes.note_abandoned()

    def fail(self, tried: OpenTry, detail: str, cause: LossCause) -> None:
        """Record a try whose answer was cut or invalid."""
        tried.load.target_health.note_failure(read_clock())
        self.crashes.note_lost(_explain(tried.load, cause))
        self._log('answer cut or invalid', tried.target, detail)

    def note_timeout(self) -> None:
        """Record that the time of a try ended before its answer did."""
        if self._asked is None:
            # The request was waiting for a target.
            return
        target, load = self._asked
        silence = read_clock_with_suspend() - self.crashes.sent_at
        if silence >= self.work.route.time_limit * SILENT_SHARE:
            load.target_health.note_failure(read_clock())
        self.crashes.note_lost(_explain(load, LossCause.SILENCE))
        self._log('no answer from target', target, f'within {silence:.2f} s')

    async def _choose(self) -> Target | Refusal:
        """Choose the next target; a late request waits for a free slot."""
        began_at = read_clock()
        while True:
            target = choose_target(
                self.forwarder, self.work, self._service, self.tried
            )
            if not isinstance(target, Refusal):
                return target
            waited = read_clock() - began_at
            if target.reason is not Reason.OVERLOADED or not self.is_late:
                return target
            if waited > LATE_WAIT_SECONDS:
                return target
            await asyncio.sleep(
                LATE_POLL_SECONDS * self.forwarder.rng.uniform(0.5, 1)
            )

    async def _send(
        self, target: Target, last_event: str | None, silence: float | None
    ) -> OpenTry | None:
        forwarder = self.forwarder
        began_at = read_clock()
        if not self._sends:
            forwarder.safeguards.retry_budget.count_first_try()
            self.sent_at = began_at
        self._sends += 1
        self.tried.append(target.name)
        load = forwarder.find_load(target)
        self._asked = target, load
        load.count_sent(began_at)
        self.crashes.note_sent(target)
        forwarder.safeguards.target_limits.count_sent(target)
        forwarder.state.reach.note_sent(target.failure_domain, began_at)
        self.runs += 1
        answer: OpenAnswer | NotSent | NoAnswer | None = None
        dispatch = Dispatch(
            target=target,
            time_left=self.work.deadline - began_at,
            last_event=last_event,
            rank=rank_request(
                route=self.work.route,
                account=self.work.account,
                standing=_read_standing(self),
            ),
        )
        limits = (silence, read_start_limit(forwarder, target))
        limit = min((each for each in limits if each is not None), default=None)
        try:
            async with asyncio.timeout(limit) as wait:
                with keep_start_limit(forwarder, target, wait):
                    answer = await send_request(
                        session=forwarder.session,
                        wire=forwarder.wire,
                        work=self.work,
                        dispatch=dispatch,
                    )
        except TimeoutError:
            waited = read_clock() - began_at
            answer = NoAnswer(
                detail=f'not begun within {waited:.2f} s',
                cause=LossCause.SILENCE,
            )
        finally:
            if not isinstance(answer, OpenAnswer):
                load.count_answer_begun()
                load.count_ended()
            if answer is None:
                self.crashes.note_abandoned()
        if isinstance(answer, OpenAnswer):
            opened = OpenTry(
                target=target, load=load, answer=answer, began_at=began_at
            )
            return self._judge(opened)
        self._note_lost(target, load, answer)
        if isinstance(answer, NoAnswer):
            self.crashes.note_lost(_explain(load, answer.cause))
        return None

    def _judge(self, opened: OpenTry) -> OpenTry | None:
        now = read_clock()
        head, load = opened.answer.head, opened.load
        load.note_sign(now)
        self.forwarder.state.reach.note_answer(opened.target.failure_domain)
        note_statements(
            self.forwarder, opened.target, head, sent_at=opened.began_at
        )
        if head.may_be_passed_on:
            load.answered_sent_at = max(
                load.answered_sent_at, self.crashes.sent_at
            )
            return opened
        if head.ran:
            self.fail(
                opened,
                f'status {head.status} without a true mark',
                LossCause.INVALID,
            )
            self.end(opened)
            return None
        self.runs -= 1
        self.crashes.note_not_run()
        self.end(opened)
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._was_misdirected = True
        load.target_health.note_refusal(now)
        self._log(
            'target did not run the request',
            opened.target,
            f'status {head.status}',
            rest_seconds=head.rest_seconds,
            leaving=head.leaving,
        )
        return None

    def _note_lost(
        self, target: Target, load: TargetLoad, answer: NotSent | NoAnswer
    ) -> None:
        if isinstance(answer, NotSent):
            self.runs -= 1
            self.crashes.note_not_run()
            if answer.refused:
                self.forwarder.safeguards.crash_guard.note_refused(target)
            now = read_clock()
            load.target_health.note_unreachable(now)
            self.forwarder.state.reach.note_unreachable(
                target.failure_domain, target.name, now
            )
            self._log('target unreachable', target, answer.detail)
        else:
            load.target_health.note_failure(read_clock())
            self._log('no answer from target', target, answer.detail)

    def _give_up(self, refusal: Refusal | None) -> Refusal:
        """Build the refusal that ends the tries.

        :param refusal: why there is no further target; none: no further try
            is allowed.
        """
        if self.may_have_run:
            return Refusal(reason=Reason.FAILED)
        if refusal is not None and not self._sends:
            return refusal
        if self._was_misdirected:
            # A target needs about a second to reload lost weights, and the
            # entry daemons learn of the reload as much later. Callers retry
            # only once.
            wait = choose_retry_after(
                time_left=max(self.work.deadline - read_clock(), 0),
                chance=self.forwarder.rng.random(),
            )
        else:
            wait = choose_return(
                self.forwarder, self._service, DECLINED_RETRY_SECONDS
            )
        return Refusal(reason=Reason.NOT_RUN, retry_after=wait)

    def _log(
        self, message: str, target: Target, detail: str, **fields: object
    ) -> None:
        self.moved = True
        LOGGER.info(
            message,
            extra={
                'request': self.work.call.attempt,
                'fingerprint': self.crashes.suspects[0].name,
                'shared_parts': self.work.call.shared_parts,
                'target': target.name,
                'born': target.born,
                'detail': detail,
                'sends': self._sends,
                'runs': self.runs,
                **describe_version(self.forwarder, target),
                **fields,
            },
        )


def _explain(load: TargetLoad, cause: LossCause) -> LossCause:
    """Explain a loss by what its target has announced."""
    if load.unavailable_until > read_clock():
        return LossCause.ANNOUNCED
    return cause


def _read_standing(tries: Tries) -> Standing:
    if tries.first_at is not None:
        return Standing.MOVED
    return Standing.LATE if tries.is_late else Standing.FRESH
