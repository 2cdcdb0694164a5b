"""Reports about what crashes targets, as sent between entry daemons."""

import math
from typing import Final

import msgspec

from ragwortcourse.bounded import Age, Count, WholeNumber
from ragwortcourse.crashes.suspect import Suspect, SuspectKind
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.forwarding.crash_rules import RULES
from ragwortcourse.forwarding.lost_run import Fate, LostRun, RunEnd
from ragwortcourse.identifiers import DaemonId, TargetName

# Prefix of the names of prompt parts in reports.
PART_PREFIX: Final = 'part:'


class RunReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Lost run; ages are seconds.

    :param ended_age: none: not told by an older release, as ``lost_age``.
    """

    target: TargetName
    born: WholeNumber
    sent_age: Age
    lost_age: Age
    fate: Fate
    end: RunEnd = RunEnd.CUT
    ended_age: Age | None = None
    losses: Count = 0


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Evidence against one suspect.

    :param name: fingerprint of a request, or ``part:`` and the id of a part.
    :param answered_age: seconds since the newest answer that clears it; none:
        it had none since its first loss.
    :param trial_age: seconds since the newest trial; none: there was none.
    """

    name: str
    runs: list[RunReport]
    answered_age: Age | None
    trial_age: Age | None = None


class CrashMessage(msgspec.Struct, frozen=True, kw_only=True, tag='crash'):
    """Evidence of one daemon."""

    daemon: DaemonId
    reports: list[CrashReport]


def write_report(
    suspect: Suspect, evidence: CrashEvidence, now: float
) -> CrashReport:
    """Write the evidence against a suspect.

    :param now: seconds of the clock that runs during suspension.
    """
    return CrashReport(
        name=_write_name(suspect),
        runs=[_write_run(run, now) for run in evidence.runs.values()],
        answered_age=_write_age(evidence.answered_at, now),
        trial_age=_write_age(evidence.trial_at, now),
    )


def read_report(
    report: CrashReport, now: float
) -> tuple[Suspect, CrashEvidence]:
    """Read the evidence against a suspect.

    :param now: seconds of the clock that runs during suspension.
    """
    suspect = _read_name(report.name)
    evidence = CrashEvidence(
        rules=RULES[suspect.kind],
        answered_at=_read_time(report.answered_age, now),
        trial_at=_read_time(report.trial_age, now),
    )
    for run in report.runs:
        evidence.note_run(_read_run(run, now))
    return suspect, evidence


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


def _write_age(at: float, now: float) -> float | None:
    return None if math.isinf(at) else round(now - at, 3)


def _read_time(age: float | None, now: float) -> float:
    return -math.inf if age is None else now - age


def _write_run(run: LostRun, now: float) -> RunReport:
    return RunReport(
        target=run.target,
        born=run.born,
        sent_age=round(now - run.sent_at, 3),
        lost_age=round(now - run.lost_at, 3),
        fate=run.fate,
        end=run.end,
        ended_age=round(now - run.ended_at, 3),
        losses=run.losses,
    )


def _read_run(report: RunReport, now: float) -> LostRun:
    ended_age = (
        report.lost_age if report.ended_age is None else report.ended_age
    )
    return LostRun(
        target=report.target,
        born=report.born,
        sent_at=now - report.sent_age,
        lost_at=now - report.lost_age,
        fate=report.fate,
        end=report.end,
        ended_at=now - ended_age,
        losses=report.losses,
    )
