"""Judgment of the requests of a round of changes."""

import dataclasses
import math
from collections.abc import Collection, Sequence
from http import HTTPStatus

from fakes.change_plans import RequestPlan
from fakes.change_state import RouteName
from fakes.change_target import Run, RunEnd, write_parts
from fakes.raw_caller import RawReply

# Two clocks that read the same limit, and the way to the caller.
TOLERANCE_SECONDS = 0.05
# After its time limit a request has its final answer within this time.
LATE_SECONDS = 0.5
# A request still at work this close to the end of the grace time may be cut,
# if it was sent this soon after SIGTERM.
GRACE_SHARE = 5 / 6
ACCEPTED_SECONDS = 3.0
STAMP = 'ragwortcourse-server-stamp'
NOT_RUN_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
UNKNOWN_STATUSES = frozenset((HTTPStatus.NOT_FOUND, HTTPStatus.UNAUTHORIZED))


@dataclasses.dataclass(kw_only=True)
class Asked:
    """A request of a round with all that is known of it.

    :param limit_at: when its time limit, or the timeout of its route as it
        was in force when the request arrived, is reached.
    :param may_repeat: whether that route lets it run more than once.
    :param closed_at: when the daemon closed its connection; none if it did
        not.
    """

    plan: RequestPlan
    reply: RawReply
    runs: Sequence[Run]
    limit_at: float
    may_repeat: bool
    transit: float
    closed_at: float | None = None

    @property
    def ran(self) -> list[Run]:
        """Runs of targets that did not decline."""
        return [run for run in self.runs if run.end is not RunEnd.DECLINED]

    @property
    def is_excused(self) -> bool:
        """Tell whether its last target broke off or the time was up."""
        ended_at = self.reply.ended_at or self.limit_at
        return (
            ended_at >= self.limit_at - TOLERANCE_SECONDS
            or _is_lost_at_last(self.ran)
        )

    @property
    def is_received(self) -> bool:
        """Tell whether the daemon got the whole request."""
        sent_at = self.reply.sent_at
        return sent_at is not None and (
            self.closed_at is None or sent_at + self.transit <= self.closed_at
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Circumstances:
    """What a round did that excuses an answer.

    :param refusable: routes that some desired state refuses.
    :param terminated_at: when the daemon got SIGTERM; none if it did not.
    :param expired_at: when the bound on the older weights ended requests that
        had not begun; none without one.
    """

    refusable: Collection[RouteName]
    grace_seconds: float
    terminated_at: float | None = None
    expired_at: float | None = None


def _is_lost_at_last(runs: Sequence[Run]) -> bool:
    """Tell whether the target that had the request last broke off.

    A run that the daemon gave up later was sound.
    """
    if not runs:
        return False
    last = max(runs, key=lambda run: run.ended_at or math.inf)
    return last.end is RunEnd.BROKE_OFF


def judge(asked: Asked, around: Circumstances) -> str | None:
    """Judge a request; return what broke the promise, or none."""
    if len(asked.ran) > 1 and not asked.may_repeat:
        return 'ran more than once'
    if asked.reply.ended_at is None:
        return 'no answer after its time limit'
    due_at = max(asked.limit_at, asked.reply.sent_at or 0) + LATE_SECONDS
    if asked.reply.ended_at > due_at:
        return 'answered late after its time limit'
    if asked.reply.is_whole:
        return _judge_answer(asked, around)
    return _judge_cut(asked, around)


def _judge_cut(asked: Asked, around: Circumstances) -> str | None:
    expected = b''.join(write_parts(asked.plan))
    if not expected.startswith(asked.reply.body):
        return 'events missing or repeated before the end'
    if not asked.is_received or asked.is_excused:
        return None
    if _is_excused_by_stop(asked, around):
        return None
    if asked.reply.status is None:
        return f'closed without an answer: {asked.reply.detail}'
    return f'answer cut: {asked.reply.detail}'


def _is_excused_by_stop(asked: Asked, around: Circumstances) -> bool:
    stopped_at = around.terminated_at
    sent_at = asked.reply.sent_at
    if stopped_at is None or sent_at is None:
        return False
    last_at = stopped_at + around.grace_seconds * GRACE_SHARE
    return sent_at <= stopped_at + ACCEPTED_SECONDS and any(
        run.ended_at is None or run.ended_at >= last_at for run in asked.runs
    )


def _judge_answer(asked: Asked, around: Circumstances) -> str | None:
    status = asked.reply.status
    if status == HTTPStatus.OK:
        return _judge_success(asked)
    if STAMP in asked.reply.headers:
        return f'answer {status} that no target gave'
    if status in NOT_RUN_STATUSES:
        return f'{status} though it ran' if asked.ran else None
    if status in UNKNOWN_STATUSES:
        if asked.ran:
            return f'{status} though it ran'
        is_known = asked.plan.route not in around.refusable
        return f'{status} though it is known' if is_known else None
    if status == HTTPStatus.GATEWAY_TIMEOUT:
        return None if asked.is_excused else '504 before its time limit'
    if status == HTTPStatus.BAD_GATEWAY:
        if asked.is_excused or _is_excused_by_bound(asked, around):
            return None
        return '502 though its targets were sound'
    return f'answer {status} of the HTTP server'


def _is_excused_by_bound(asked: Asked, around: Circumstances) -> bool:
    expired_at = around.expired_at
    return expired_at is not None and any(
        run.ended_at is not None
        and not run.parts
        and abs(run.ended_at - expired_at) <= LATE_SECONDS
        for run in asked.runs
    )


def _judge_success(asked: Asked) -> str | None:
    if STAMP not in asked.reply.headers:
        return '200 that no target gave'
    if asked.reply.body != b''.join(write_parts(asked.plan)):
        return 'whole answer with parts missing, repeated or out of order'
    return None
