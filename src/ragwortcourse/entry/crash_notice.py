"""Word of a crash, which starts ahead of the answer to its caller."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.bars import bar_attempt
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

# An answer lets the word of a crash go first for no longer than this.
MAX_ANSWER_DELAY_SECONDS: Final = 0.1
# Word that takes longer than this is given up.
NOTICE_SECONDS: Final = 1.0


async def note_crash(
    entry: EntryState, work: AdmittedCall, choice: Choice
) -> None:
    """Note that a target died under the work, here and elsewhere.

    The first death is shared with whoever sees the next one, the second
    with every entry daemon. The caller waits
    ``MAX_ANSWER_DELAY_SECONDS`` at the most.
    """
    _accuse(entry, work, choice)

    async def tell() -> None:
        await _tell_of_crash(entry, work.fingerprint)

    await _start_ahead(entry, tell)


async def drop_suspicion(entry: EntryState, work: AdmittedCall) -> None:
    """Forget a suspicion, here and in its row, after a whole answer."""
    if not entry.crashers.forget_suspicion(work.fingerprint):
        return

    async def clear() -> None:
        await clear_suspicion(entry, work.fingerprint)

    await _start_ahead(entry, clear)


async def note_break(
    entry: EntryState,
    work: AdmittedCall,
    choice: Choice,
    attempt: AttemptId,
    sent_at: float,
) -> None:
    """Ask whether the target died as its answer broke off.

    The caller waits ``MAX_ANSWER_DELAY_SECONDS`` at the most.

    :param sent_at: monotonic seconds at which the attempt was sent.
    """
    age = read_clock() - sent_at

    async def ask() -> None:
        report = await bar_attempt(entry, choice.record.address, attempt, age)
        if isinstance(report, AttemptReport) and report.suspect:
            _accuse(entry, work, choice)
            await _tell_of_crash(entry, work.fingerprint)

    await _start_ahead(entry, ask)


async def _start_ahead(
    entry: EntryState, notice: Callable[[], Awaitable[None]]
) -> None:
    """Let a notice run, at first with the answer waiting for its end."""
    ended = asyncio.Event()

    async def run() -> None:
        try:
            async with asyncio.timeout(NOTICE_SECONDS):
                await notice()
        except TimeoutError:
            return
        finally:
            ended.set()

    if entry.notices.spawn(run()):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_ANSWER_DELAY_SECONDS):
                await ended.wait()


def _accuse(entry: EntryState, work: AdmittedCall, choice: Choice) -> None:
    entry.crashers.record_crashes(
        work.fingerprint, work.account.name, choice.record.target
    )


async def _tell_of_crash(entry: EntryState, fingerprint: str) -> None:
    if _find_proof(entry, fingerprint) is None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NOTICE_SECONDS / 2):
                await share_suspicion(entry, fingerprint)
    proof = _find_proof(entry, fingerprint)
    if proof is not None:
        await asyncio.gather(
            entry.broadcast_crasher(build_shared_crasher(fingerprint, proof)),
            sync_crashers_once(entry),
        )


def _find_proof(entry: EntryState, fingerprint: str) -> CrashRecord | None:
    evidence = entry.crashers.find(fingerprint)
    if evidence is None or not evidence.meets_refusal_threshold:
        return None
    return evidence
