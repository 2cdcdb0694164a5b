"""One way of a request to its answer: one target after another.

A request has more than one such lane while its targets are silent.
"""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Iterator, Sequence
from http import HTTPStatus
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import (
    LATE_POLL_SECONDS,
    LATE_WAIT_SECONDS,
)
from ragwortcourse.forwarding.choice import choose_target
from ragwortcourse.forwarding.exchange import (
    UNREAD_SECONDS,
    NoAnswer,
    NotSent,
    OpenAnswer,
    send_request,
)
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.forwarding.request_crashes import RequestCrashes
from ragwortcourse.forwarding.second_ask import Silence
from ragwortcourse.forwarding.start_limit import keep_start_limit
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_load import TargetLoad
from ragwortcourse.forwarding.target_statements import note_statements
from ragwortcourse.forwarding.tries import TIMER_SECONDS, Tries
from ragwortcourse.forwarding.tries_end import TriesEnd
from ragwortcourse.forwarding.urgency import rank_request
from ragwortcourse.forwarding.version_bounds import (
    read_expected_version,
    read_start_limit,
)
from ragwortcourse.forwarding.version_log import describe_version
from ragwortcourse.forwarding.wire_format import Dispatch

# Share of the time limit of a route after which a silent target is avoided. A
# try that ends sooner, as its caller left little time, tells nothing.
SILENT_SHARE: Final = 0.25
# Silence for which a target is avoided on routes with a long time limit.
SILENT_SECONDS: Final = 1.0
# What arrived before the cut is passed on within this time.
UNREAD_CUT_SECONDS: Final = 5.0

LOGGER: Final = logging.getLogger(__name__)


class TryLane:
    """Targets that a request is sent to, one after another until one answers.

    ``patience`` is the silence, in seconds, after which one more target may be
    asked beside this lane.

    :param silent: lanes whose targets have the request and are silent.
    :param is_covered: tells whether another lane has a target that is not
        silent for too long.
    """

    def __init__(
        self,
        *,
        tries: Tries,
        patience: float,
        silent: Sequence['TryLane'] = (),
        is_covered: Callable[[], bool] = bool,
    ) -> None:
        self.patience = patience
        self.silent = silent
        self._is_covered = is_covered
        self.crashes = RequestCrashes(
            guard=tries.forwarder.safeguards.crash_guard,
            suspects=tries.suspects,
        )
        self._tries = tries
        self._asked: tuple[Target, TargetLoad] | None = None
        self._sign_at = read_clock()
        self._is_silent = False
        self._is_passing_on = False
        self._unread_until = -math.inf

    @property
    def may_answer_soon(self) -> bool:
        """Tell whether a target has the request and is not silent too long."""
        return self._asked is not None and self.patience_left > 0

    @property
    def silence(self) -> Silence:
        """Silence of the target that owes the next part of the answer.

        It has no length while no target does: one is being chosen, or the
        caller has not taken the last part yet.
        """
        is_owed = self._asked is not None and not self._is_passing_on
        return Silence(
            seconds=read_clock() - self._sign_at if is_owed else 0,
            gone=self._asked is not None
            and _is_gone(self._tries.forwarder.state, self._asked[0]),
        )

    @property
    def patience_left(self) -> float:
        """Seconds until the silence of the target is too long."""
        left = self.patience - self.silence.seconds
        # Timers may fire a little early.
        return left if left > TIMER_SECONDS else 0

    async def open(
        self, last_event: str | None
    ) -> OpenTry | Refusal | TriesEnd | None:
        """Send the request to targets until one answers.

        :param last_event: id of the event after which a stream continues.
        :return: without an answer, why there is no further target; none if
            another lane may answer soon.
        """
        while True:
            end = self._tries.find_end(beside=bool(self.silent))
            if end is not None:
                return end
            target = await self._choose()
            if isinstance(target, Refusal):
                return target
            refusal = self._tries.find_refusal(beside=bool(self.silent))
            if refusal is not None:
                return refusal
            opened = await self._send(target, last_event)
            if opened is not None or self._is_covered():
                return opened

    @contextlib.contextmanager
    def pass_on(self) -> Iterator[None]:
        """Pass on what the target sent; its silence begins anew after that."""
        self._is_silent = False
        self._is_passing_on = True
        began_at = read_clock()
        try:
            with self._tries.history.pass_on():
                yield
        finally:
            self._is_passing_on = False
            self._sign_at = read_clock()
        if self._sign_at - began_at >= UNREAD_SECONDS:
            self._unread_until = self._sign_at + UNREAD_CUT_SECONDS

    def note_silent(self) -> None:
        """Record that the target of this lane is silent, once."""
        if self._asked is None or self._is_silent:
            # The request waits for a target, or the silence is known.
            return
        self._is_silent = True
        target, load = self._asked
        silence = self.silence.seconds
        share = self._tries.work.route.time_limit * SILENT_SHARE
        if silence >= min(share, SILENT_SECONDS):
            load.target_health.note_failure(read_clock())
        self.crashes.note_lost(_explain(load, LossCause.SILENCE))
        _log(self._tries, 'target is silent', target, f'for {silence:.2f} s')

    def fail(self, tried: OpenTry, detail: str, cause: LossCause) -> None:
        """Record a try whose answer was cut or invalid."""
        now = read_clock()
        if cause is LossCause.CUT and now < self._unread_until:
            cause = LossCause.UNREAD
        if cause is not LossCause.UNREAD:
            tried.load.target_health.note_failure(now)
        self.crashes.note_lost(_explain(tried.load, cause))
        _log(self._tries, 'answer cut or invalid', tried.target, detail)

    def end(self, tried: OpenTry) -> None:
        """Close a try, which cancels the request at the target."""
        tried.close()
        self.crashes.note_abandoned()
        self._asked = None

    async def _choose(self) -> Target | Refusal:
        """Choose the next target; a late request waits for a free slot."""
        tries = self._tries
        began_at = read_clock()
        while True:
            target = choose_target(
                tries.forwarder,
                tries.work,
                tries.service,
                tries.tried,
                combine_silences(self.silent),
            )
            if not isinstance(target, Refusal) or self.silent:
                return target
            waited = read_clock() - began_at
            if target.reason is not Reason.OVERLOADED or not tries.is_late:
                return target
            if waited > LATE_WAIT_SECONDS:
                return target
            await asyncio.sleep(
                LATE_POLL_SECONDS * tries.forwarder.rng.uniform(0.5, 1)
            )

    async def _send(
        self, target: Target, last_event: str | None
    ) -> OpenTry | None:
        tries, forwarder = self._tries, self._tries.forwarder
        began_at = read_clock()
        load = forwarder.find_load(target)
        self._note_sent(target, load, began_at)
        answer: OpenAnswer | NotSent | NoAnswer | None = None
        dispatch = Dispatch(
            target=target,
            time_left=tries.work.deadline - began_at,
            last_event=last_event,
            rank=rank_request(
                route=tries.work.route,
                account=tries.work.account,
                standing=tries.standing,
            ),
            version=read_expected_version(forwarder, target),
        )
        limit = read_start_limit(forwarder, target)
        try:
            async with asyncio.timeout(limit) as wait:
                with keep_start_limit(forwarder, target, wait):
                    answer = await send_request(
                        session=forwarder.session,
                        wire=forwarder.wire,
                        work=tries.work,
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
            return self._judge(opened, dispatch.version)
        self._note_lost(target, load, answer)
        return None

    def _note_sent(
        self, target: Target, load: TargetLoad, began_at: float
    ) -> None:
        forwarder = self._tries.forwarder
        self._tries.count_sent(target.name, began_at)
        self._asked = target, load
        self._sign_at = began_at
        self._is_silent = False
        load.count_sent(began_at)
        self.crashes.note_sent(target)
        forwarder.safeguards.target_limits.count_sent(target)
        forwarder.state.reach.note_sent(target.failure_domain, began_at)

    def _judge(
        self, opened: OpenTry, expected_version: int | None
    ) -> OpenTry | None:
        now = read_clock()
        head, load = opened.answer.head, opened.load
        load.note_sign(now)
        self._tries.forwarder.state.reach.note_answer(
            opened.target.failure_domain
        )
        note_statements(
            self._tries.forwarder,
            opened.target,
            head,
            sent_at=opened.began_at,
            expected_version=expected_version,
        )
        if head.may_be_passed_on:
            load.answered_sent_at = max(
                load.answered_sent_at, self.crashes.sent_at
            )
            self._tries.history.said[opened.target.name] = (
                f'status {head.status}'
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
        self._tries.count_not_run()
        self.crashes.note_not_run()
        self.end(opened)
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._tries.was_misdirected = True
        load.target_health.note_refusal(now)
        _log(
            self._tries,
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
        self._asked = None
        forwarder = self._tries.forwarder
        now = read_clock()
        if isinstance(answer, NotSent):
            self._tries.count_not_run()
            self.crashes.note_not_run()
            if answer.refused:
                forwarder.safeguards.crash_guard.note_refused(target)
            load.target_health.note_unreachable(now)
            forwarder.state.reach.note_unreachable(
                target.failure_domain, target.name, now
            )
            _log(self._tries, 'target unreachable', target, answer.detail)
        else:
            load.target_health.note_failure(now)
            self.crashes.note_lost(_explain(load, answer.cause))
            _log(self._tries, 'no answer from target', target, answer.detail)


def combine_silences(lanes: Sequence[TryLane]) -> Silence | None:
    """Combine the silences of all targets that have a request.

    :return: none if no target has it.
    """
    if not lanes:
        return None
    silences = [lane.silence for lane in lanes]
    return Silence(
        seconds=min(each.seconds for each in silences),
        gone=all(each.gone for each in silences),
    )


def _explain(load: TargetLoad, cause: LossCause) -> LossCause:
    """Explain a loss by what its target has announced."""
    if load.unavailable_until > read_clock():
        return LossCause.ANNOUNCED
    return cause


def _is_gone(state: FleetState, target: Target) -> bool:
    """Tell whether a target has left the list or can't be reached."""
    listed = state.targets.get(target.name)
    if listed is None or listed.born != target.born:
        return True
    return state.reach.is_avoided(target.failure_domain, read_clock())


def _log(
    tries: Tries, message: str, target: Target, detail: str, **fields: object
) -> None:
    """Log what became of a request at one target."""
    tries.moved = True
    tries.history.said[target.name] = f'{message}, {detail}'
    LOGGER.info(
        message,
        extra={
            'request': tries.work.call.attempt,
            'fingerprint': tries.suspects[0].name,
            'shared_parts': tries.work.call.shared_parts,
            'target': target.name,
            'born': target.born,
            'detail': detail,
            'sends': tries.sends,
            'runs': tries.runs,
            **describe_version(tries.forwarder, target),
            **fields,
        },
    )
