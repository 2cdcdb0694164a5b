"""Notices of target crashes, started before the caller gets its answer.

A crash under a request makes the request suspect; ``CRASHES_TO_REFUSE``
crashes make every entry daemon refuse it.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.attempt_bars import bar_attempt
from ragwortcourse.entry.choice import Choice
from ragwortcourse.entry.crasher_sync import (
    build_shared_crasher,
    sync_crashers_once,
)
from ragwortcourse.entry.crashers import CrashRecord
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.entry.suspicion_rows import clear_suspicion, share_suspicion
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.messages.attempt_report import AttemptReport

# Bounds how long an answer waits for its crash notice.
MAX_ANSWER_DELAY_SECONDS: Final = 0.1
# Notices that take longer are cancelled.
NOTICE_SECONDS: Final = 1.0


async def note_crash(
    entry: EntryState, work: AdmittedCall, choice: Choice
) -> None:
    """Record that a target crashed while it ran the work, and share this.

    The first crash goes to the suspicion row, which daemons read when they
    see another crash under the same request. The second crash is sent to
    every entry daemon. The caller waits at most
    ``MAX_ANSWER_DELAY_SECONDS``.
    """
    _record_crash(entry, work, choice)

    async def share() -> None:
        await _share_evidence(entry, work.fingerprint)

    await _run_before_answer(entry, share)


async def drop_suspicion(entry: EntryState, work: AdmittedCall) -> None:
    """Clear a suspicion, locally and in its row, after a complete answer."""
    if not entry.crashers.forget_suspicion(work.fingerprint):
        return

    async def clear() -> None:
        await clear_suspicion(entry, work.fingerprint)

    await _run_before_answer(entry, clear)


async def check_broken_answer(
    entry: EntryState,
    work: AdmittedCall,
    choice: Choice,
    attempt: AttemptId,
    sent_at: float,
) -> None:
    """Ask the agent whether the target crashed when its answer broke off.

    A confirmed crash is recorded and shared. The caller waits at most
    ``MAX_ANSWER_DELAY_SECONDS``.

    :param sent_at: monotonic seconds at which the attempt was sent.
    """
    age = read_clock() - sent_at

    async def check() -> None:
        report = await bar_attempt(entry, choice.record.address, attempt, age)
        if isinstance(report, AttemptReport) and report.suspect:
            _record_crash(entry, work, choice)
            await _share_evidence(entry, work.fingerprint)

    await _run_before_answer(entry, check)


async def _run_before_answer(
    entry: EntryState, notice: Callable[[], Awaitable[None]]
) -> None:
    """Start a notice and hold the answer back until the notice has ended.

    After ``MAX_ANSWER_DELAY_SECONDS`` the answer goes out while the notice
    continues.
    """
    ended = asyncio.Event()

    async def run() -> None:
        try:
            async with asyncio.timeout(NOTICE_SECONDS):
                await notice()
        except TimeoutError:
            return
        finally:
            ended.set()

    if entry.crash_report_tasks.spawn(run()):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_ANSWER_DELAY_SECONDS):
                await ended.wait()


def _record_crash(
    entry: EntryState, work: AdmittedCall, choice: Choice
) -> None:
    entry.crashers.record_crashes(
        work.fingerprint, work.account.name, choice.record.target
    )


async def _share_evidence(entry: EntryState, fingerprint: str) -> None:
    if _find_refusable(entry, fingerprint) is None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NOTICE_SECONDS / 2):
                await share_suspicion(entry, fingerprint)
    evidence_to_share = _find_refusable(entry, fingerprint)
    if evidence_to_share is not None:
        await asyncio.gather(
            entry.broadcast_crasher(
                build_shared_crasher(fingerprint, evidence_to_share)
            ),
            sync_crashers_once(entry),
        )


def _find_refusable(entry: EntryState, fingerprint: str) -> CrashRecord | None:
    evidence = entry.crashers.find(fingerprint)
    if evidence is None or not evidence.meets_refusal_threshold:
        return None
    return evidence
