"""Exchange of crash evidence between entry daemons.

Standing reports are those against requests that are suspected of several
crashes.
"""

import math
import random
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.forwarding.crash_guard import CRASHES_TO_SINGLE, CrashGuard
from ragwortcourse.forwarding.lost_run import Fate, LostRun
from ragwortcourse.forwarding.report_sender import ReportSender
from ragwortcourse.identifiers import DaemonId, Fingerprint, TargetName

# Reports that all daemons together send to a daemon in one round, and the
# most that one message holds.
REPORTS_PER_ROUND: Final = 64
REPORTS_PER_MESSAGE: Final = 16


class RunReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Lost run; ages are seconds."""

    target: TargetName
    born: int
    sent_age: float
    lost_age: float
    fate: Fate


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Evidence against one request.

    :param answered_age: seconds since its newest complete answer; none: it
        had none since its first loss.
    """

    fingerprint: Fingerprint
    runs: list[RunReport]
    answered_age: float | None


class CrashMessage(msgspec.Struct, frozen=True, kw_only=True, tag='crash'):
    """Evidence of one daemon."""

    daemon: DaemonId
    reports: list[CrashReport]


def build_crash_sender(
    *,
    guard: CrashGuard,
    daemon: DaemonId,
    rng: random.Random,
    send: Callable[[bytes, str], None],
) -> ReportSender[CrashReport]:
    """Build the sender of the evidence of one daemon.

    :param send: sends a datagram to an address, ``ip:port``.
    """

    def encode(reports: list[CrashReport]) -> bytes:
        return msgspec.json.encode(CrashMessage(daemon=daemon, reports=reports))

    def list_news(since: float, daemons: int) -> list[CrashReport]:
        return list_fresh_reports(guard, since=since, daemons=daemons, rng=rng)

    def list_standing() -> list[CrashReport]:
        guard.settle()
        return list_grave_reports(guard)

    return ReportSender(
        list_news=list_news,
        list_standing=list_standing,
        encode=encode,
        send=send,
        rng=rng,
    )


def list_fresh_reports(
    guard: CrashGuard, *, since: float, daemons: int, rng: random.Random
) -> list[CrashReport]:
    """List reports of this daemon's recent losses and answers, for all others.

    Of equally grave reports, each round sends a random choice.

    :param since: seconds of the clock that runs during suspension.
    :param daemons: number of daemons that send reports to each other.
    """
    now = read_clock_with_suspend()
    fresh = [
        (fingerprint, evidence)
        for fingerprint, evidence in guard.store.list_items()
        if evidence.own_news_at > since
    ]
    rng.shuffle(fresh)
    share = max(REPORTS_PER_ROUND // max(daemons, 1), 1)
    return _write_reports(fresh, min(share, REPORTS_PER_MESSAGE), now)


def list_grave_reports(guard: CrashGuard) -> list[CrashReport]:
    """List reports of requests that are suspected of several crashes."""
    now = read_clock_with_suspend()
    grave = [
        (fingerprint, evidence)
        for fingerprint, evidence in guard.store.list_items()
        if evidence.count_suspected() >= CRASHES_TO_SINGLE
    ]
    return _write_reports(grave, REPORTS_PER_MESSAGE, now)


def note_reports(guard: CrashGuard, message: CrashMessage) -> None:
    """Merge the evidence of another daemon."""
    now = read_clock_with_suspend()
    for report in message.reports:
        for run in report.runs:
            guard.merge_run(report.fingerprint, _read_run(run, now))
        if report.answered_age is not None:
            guard.merge_answer(report.fingerprint, now - report.answered_age)


def _write_reports(
    items: Iterable[tuple[str, CrashEvidence]], limit: int, now: float
) -> list[CrashReport]:
    """Write the gravest evidence."""
    chosen = sorted(
        items, key=lambda each: each[1].count_suspected(), reverse=True
    )
    return [
        CrashReport(
            fingerprint=Fingerprint(fingerprint),
            runs=[_write_run(run, now) for run in evidence.runs.values()],
            answered_age=(
                None
                if math.isinf(evidence.answered_at)
                else round(now - evidence.answered_at, 3)
            ),
        )
        for fingerprint, evidence in chosen[:limit]
    ]


def _write_run(run: LostRun, now: float) -> RunReport:
    return RunReport(
        target=run.target,
        born=run.born,
        sent_age=round(now - run.sent_at, 3),
        lost_age=round(now - run.lost_at, 3),
        fate=run.fate,
    )


def _read_run(report: RunReport, now: float) -> LostRun:
    return LostRun(
        target=report.target,
        born=report.born,
        sent_at=now - report.sent_age,
        lost_at=now - report.lost_age,
        fate=report.fate,
    )
