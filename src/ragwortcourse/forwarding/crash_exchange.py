"""Exchange of crash evidence between entry daemons.

Standing reports are those against suspects of several crashes.
"""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.suspect import Suspect
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.forwarding.crash_guard import (
    CRASHES_TO_SINGLE,
    REFUSING,
    CrashGuard,
    Judgement,
)
from ragwortcourse.forwarding.crash_messages import (
    CrashMessage,
    CrashReport,
    read_report,
    write_report,
)
from ragwortcourse.forwarding.report_sender import ReportSender
from ragwortcourse.identifiers import DaemonId

# Reports that all daemons together send to a daemon in one round, and the
# most that one message holds. Links between regions are narrow.
REPORTS_PER_ROUND: Final = 64
REPORTS_PER_MESSAGE: Final = 16

LOGGER: Final = logging.getLogger(__name__)


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
    return [write_report(suspect, each, now) for suspect, each in chosen]


def list_grave_reports(guard: CrashGuard) -> list[CrashReport]:
    """List reports of the suspects of several crashes."""
    now = read_clock_with_suspend()
    grave = [
        (suspect, evidence)
        for suspect, evidence in guard.store.list_items()
        if evidence.count_suspected() >= CRASHES_TO_SINGLE
    ]
    return [
        write_report(suspect, evidence, now)
        for suspect, evidence in _choose_gravest(grave, REPORTS_PER_MESSAGE)
    ]


def note_reports(guard: CrashGuard, message: CrashMessage) -> None:
    """Merge the evidence of another daemon."""
    now = read_clock_with_suspend()
    for report in message.reports:
        suspect, evidence = read_report(report, now)
        before = guard.judge(suspect)
        guard.merge(suspect, evidence)
        after = guard.judge(suspect)
        if before.verdict is not after.verdict and (
            {before.verdict, after.verdict} & REFUSING
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
