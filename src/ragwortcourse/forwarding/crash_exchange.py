"""Exchange of crash evidence between entry daemons.

Standing reports are those against suspects of several crashes.
"""

import logging
import math
import random
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.suspect import Suspect, SuspectKind
from ragwortcourse.crashes.verdict import Verdict
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.forwarding.crash_guard import (
    CRASHES_TO_SINGLE,
    CrashGuard,
    Judgement,
)
from ragwortcourse.forwarding.lost_run import Fate, LostRun, RunEnd
from ragwortcourse.forwarding.report_sender import ReportSender
from ragwortcourse.identifiers import DaemonId, TargetName

# Reports that all daemons together send to a daemon in one round, and the
# most that one message holds. A lost answer has three suspects or so.
REPORTS_PER_ROUND: Final = 192
REPORTS_PER_MESSAGE: Final = 16
# Prefix of the names of prompt parts in reports.
PART_PREFIX: Final = 'part:'

REPORTED_VERDICTS: Final = frozenset((Verdict.HELD, Verdict.REFUSED))

LOGGER: Final = logging.getLogger(__name__)


class RunReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Lost run; ages are seconds."""

    target: TargetName
    born: int
    sent_age: float
    lost_age: float
    fate: Fate
    end: RunEnd = RunEnd.CUT


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Evidence against one suspect.

    :param name: fingerprint of a request, or ``part:`` and the id of a part.
    :param answered_age: seconds since the newest answer that clears it; none:
        it had none since its first loss.
    """

    name: str
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

    Of equally grave reports, those sent in fewer rounds come first.

    :param since: seconds of the clock that runs during suspension.
    :param daemons: number of daemons that send reports to each other.
    """
    now = read_clock_with_suspend()
    fresh = [
        (suspect, evidence)
        for suspect, evidence in guard.store.list_items()
        if evidence.own_news_at > since
    ]
    rng.shuffle(fresh)
    share = max(REPORTS_PER_ROUND // max(daemons, 1), 1)
    chosen = _choose_gravest(fresh, min(share, REPORTS_PER_MESSAGE))
    for _, evidence in chosen:
        evidence.sends += 1
    return _write_reports(chosen, now)


def list_grave_reports(guard: CrashGuard) -> list[CrashReport]:
    """List reports of the suspects of several crashes."""
    now = read_clock_with_suspend()
    grave = [
        (suspect, evidence)
        for suspect, evidence in guard.store.list_items()
        if evidence.count_suspected() >= CRASHES_TO_SINGLE
    ]
    return _write_reports(_choose_gravest(grave, REPORTS_PER_MESSAGE), now)


def note_reports(guard: CrashGuard, message: CrashMessage) -> None:
    """Merge the evidence of another daemon."""
    now = read_clock_with_suspend()
    for report in message.reports:
        suspect = _read_name(report.name)
        before = guard.judge(suspect)
        for run in report.runs:
            guard.merge_run(suspect, _read_run(run, now))
        if report.answered_age is not None:
            guard.merge_answer(suspect, now - report.answered_age)
        after = guard.judge(suspect)
        if {before.verdict, after.verdict} & REPORTED_VERDICTS and (
            before.verdict is not after.verdict
        ):
            _log_change(suspect, message.daemon, before, after)


def _log_change(
    suspect: Suspect, daemon: DaemonId, before: Judgement, after: Judgement
) -> None:
    LOGGER.info(
        'verdict changed by a report of another daemon',
        extra={
            **suspect.describe(),
            'told_by': daemon,
            'verdict': after.verdict.value,
            'before': before.verdict.value,
            'crashes': after.proven,
            'crashes_suspected': after.suspected,
        },
    )


def _choose_gravest(
    items: Iterable[tuple[Suspect, CrashEvidence]], limit: int
) -> list[tuple[Suspect, CrashEvidence]]:
    return sorted(
        items, key=lambda each: (-each[1].count_suspected(), each[1].sends)
    )[:limit]


def _write_name(suspect: Suspect) -> str:
    if suspect.kind is SuspectKind.PROMPT_PART:
        return f'{PART_PREFIX}{suspect.name}'
    return suspect.name


def _read_name(name: str) -> Suspect:
    if name.startswith(PART_PREFIX):
        return Suspect(
            kind=SuspectKind.PROMPT_PART, name=name.removeprefix(PART_PREFIX)
        )
    return Suspect(kind=SuspectKind.REQUEST, name=name)


def _write_reports(
    items: Iterable[tuple[Suspect, CrashEvidence]], now: float
) -> list[CrashReport]:
    return [
        CrashReport(
            name=_write_name(suspect),
            runs=[_write_run(run, now) for run in evidence.runs.values()],
            answered_age=(
                None
                if math.isinf(evidence.answered_at)
                else round(now - evidence.answered_at, 3)
            ),
        )
        for suspect, evidence in items
    ]


def _write_run(run: LostRun, now: float) -> RunReport:
    return RunReport(
        target=run.target,
        born=run.born,
        sent_age=round(now - run.sent_at, 3),
        lost_age=round(now - run.lost_at, 3),
        fate=run.fate,
        end=run.end,
    )


def _read_run(report: RunReport, now: float) -> LostRun:
    return LostRun(
        target=report.target,
        born=report.born,
        sent_at=now - report.sent_age,
        lost_at=now - report.lost_age,
        fate=report.fate,
        end=report.end,
    )
