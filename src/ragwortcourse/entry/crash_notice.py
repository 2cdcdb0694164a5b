"""Word of a crash, given before the caller can send its request again."""

import asyncio
import contextlib
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.entry.bars import bar_attempt
from ragwortcourse.entry.choice import Choice
from ragwortcourse.entry.crasher_spread import share_one, spread_once
from ragwortcourse.entry.entry import Entry
from ragwortcourse.entry.suspicion_rows import clear_suspicion, share_suspicion
from ragwortcourse.entry.work import Work
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.messages.attempt_report import AttemptReport

NOTICE_SECONDS: Final = 1.0


async def note_crash(entry: Entry, work: Work, choice: Choice) -> None:
    """Note that a target died under the work, here and elsewhere.

    It takes ``NOTICE_SECONDS`` at the most. The first death is shared
    with whoever sees the next one, the second with every entry daemon.
    """
    crashers = entry.crashers
    fingerprint = work.fingerprint
    crashers.accuse(fingerprint, work.account.name, choice.record.target)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(NOTICE_SECONDS / 2):
            await share_suspicion(entry, fingerprint)
    evidence = crashers.find(fingerprint)
    if evidence is None or not evidence.is_proof:
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(NOTICE_SECONDS / 2):
            await asyncio.gather(
                entry.tell_peers(share_one(fingerprint, evidence)),
                spread_once(entry),
            )


async def acquit(entry: Entry, work: Work) -> None:
    """Forget a suspicion, here and in its row, after a whole answer."""
    if entry.crashers.acquit(work.fingerprint):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NOTICE_SECONDS / 2):
                await clear_suspicion(entry, work.fingerprint)


async def note_break(
    entry: Entry, work: Work, choice: Choice, attempt: AttemptId, sent_at: float
) -> None:
    """Ask whether the target died as its answer broke off.

    :param sent_at: monotonic seconds at which the attempt was sent.
    """
    report = None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(NOTICE_SECONDS):
            report = await bar_attempt(
                entry,
                choice.record.address,
                attempt,
                read_clock() - sent_at,
            )
    if isinstance(report, AttemptReport) and report.suspect:
        await note_crash(entry, work, choice)
