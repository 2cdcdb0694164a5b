"""Rows of refused suspects, which outlive the entry daemons.

Load pattern: all entry daemons are killed while requests that crash targets
still come.
"""

import asyncio
import logging
import math
import time
from typing import Final

import msgspec

from ragwortcourse.bounded import Amount
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.evidence_store import SUSPICION_SECONDS
from ragwortcourse.crashes.suspect import Suspect
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.forwarding.crash_guard import REFUSING, CrashGuard
from ragwortcourse.forwarding.crash_messages import (
    CrashReport,
    read_report,
    write_report,
)
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_row import StoreRow, StoreRows
from ragwortcourse.unreadable import UnreadableError

# A table of this project, not of the platform.
TABLE: Final = 'crashes'
# Less than a daemon needs to start, so that nothing is forgotten between.
POLL_SECONDS: Final = 0.3

LOGGER: Final = logging.getLogger(__name__)


class CrashRow(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence against one suspect, as stored.

    :param written_at: time of day of the report's ages, seconds since the
        epoch. A clock that jumps moves the end of a refusal alike.
    """

    report: CrashReport
    written_at: Amount


class CrashKeeper:
    """Rows that one daemon reads at its start and writes at its own news.

    :param guard: evidence of this daemon.
    """

    def __init__(self, *, store: Store, guard: CrashGuard) -> None:
        self._store = store
        self._guard = guard
        self._is_read = False
        # For each suspect with a row, the time of the news in it.
        self._written: dict[Suspect, float] = {}
        self._written_until = -math.inf

    async def run(self) -> None:
        """Read and write rows until cancelled."""
        while True:
            await self.update()
            await asyncio.sleep(POLL_SECONDS)

    async def update(self) -> None:
        """Read the rows unless they were read, and write what is new."""
        if not self._is_read:
            self._is_read = await self._read()
        now = read_clock_with_suspend()
        # Most evidence is against sound suspects, and old.
        changed = [
            (suspect, evidence)
            for suspect, evidence in self._guard.store.list_items()
            if suspect in self._written
            or evidence.own_news_at > self._written_until
        ]
        are_written = [
            await self._write(suspect, evidence)
            for suspect, evidence in changed
            if self._is_due(suspect, evidence)
        ]
        if all(are_written):
            self._written_until = now

    def _is_due(self, suspect: Suspect, evidence: CrashEvidence) -> bool:
        if self._guard.judge(suspect).verdict in REFUSING:
            return evidence.own_news_at > self._written.get(suspect, -math.inf)
        return suspect in self._written

    async def _write(self, suspect: Suspect, evidence: CrashEvidence) -> bool:
        is_refused = self._guard.judge(suspect).verdict in REFUSING
        news_at = evidence.own_news_at
        report = write_report(suspect, evidence, read_clock_with_suspend())
        content = msgspec.json.encode(
            CrashRow(report=report, written_at=time.time())
        )
        if not await self._store.write_row(TABLE, report.name, content):
            return False
        if is_refused:
            self._written[suspect] = news_at
        else:
            self._written.pop(suspect)
        return True

    async def _read(self) -> bool:
        answer = await self._store.read_table(TABLE)
        if not isinstance(answer, StoreRows):
            return False
        for row in answer.rows:
            await self._read_row(row)
        return True

    async def _read_row(self, row: StoreRow) -> None:
        try:
            wire = decode_json(row.content or b'', CrashRow)
        except UnreadableError as error:
            LOGGER.warning(
                'unreadable row of a refused suspect ignored',
                extra={'row': row.key, 'detail': str(error)},
            )
            return
        age = max(time.time() - wire.written_at, 0)
        if age > SUSPICION_SECONDS:
            await self._store.remove_row(TABLE, row.key)
            return
        now = read_clock_with_suspend()
        suspect, evidence = read_report(wire.report, now - age)
        self._guard.merge(suspect, evidence)
        if self._guard.judge(suspect).verdict in REFUSING:
            self._written[suspect] = now
            LOGGER.info(
                'suspect refused by a row of an earlier daemon',
                extra={**suspect.describe(), 'seconds_ago': age},
            )
