"""Bounded record of the attempts that this agent has received."""

import collections
from typing import Final

from ragwortcourse.agent.attempt_record import AttemptRecord
from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState
from ragwortcourse.messages.peer_port import BAR_TIMEOUT_SECONDS

MAX_RECORDS: Final = 8192


class AttemptRecords:
    """Records of attempts, with the time up to which records may be missing.

    An attempt sent after that time and not recorded here has not been
    accepted.

    :param max_records: ended attempts beyond this number are evicted, the
        oldest first.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: collections.OrderedDict[AttemptId, AttemptRecord] = (
            collections.OrderedDict()
        )
        # Records of attempts accepted up to this time may be missing. A new
        # process has no records of the process before.
        self._forgotten_until = read_clock()

    def find(self, attempt: AttemptId) -> AttemptRecord | None:
        """Return the record of an attempt, or none."""
        return self._records.get(attempt)

    def accept(self, attempt: AttemptId) -> AttemptRecord:
        """Create the record of a new attempt."""
        record = AttemptRecord(attempt=attempt, accepted_at=read_clock())
        self._records[attempt] = record
        self._trim()
        return record

    def drop_refused(self, record: AttemptRecord) -> None:
        """Remove an attempt that was refused and never ran, unless barred."""
        if record.state is not AttemptState.BARRED:
            self._records.pop(record.attempt, None)

    def bar(self, attempt: AttemptId, age: float) -> AttemptReport:
        """Report an attempt, and bar it if it has not started.

        :param age: seconds from the sending of the attempt to the sending
            of the bar request, which takes at most
            ``BAR_TIMEOUT_SECONDS`` to arrive.
        """
        record = self._records.get(attempt)
        if record is None:
            if not self._is_remembered(age):
                return AttemptReport(
                    attempt=attempt, state=AttemptState.FORGOTTEN
                )
            record = self.accept(attempt)
        if record.state is None:
            record.state = AttemptState.BARRED
        return record.to_report()

    def _is_remembered(self, age: float) -> bool:
        sent_at = read_clock() - age - BAR_TIMEOUT_SECONDS
        return sent_at > self._forgotten_until

    def _trim(self) -> None:
        surplus = len(self._records) - self._max_records
        if surplus <= 0:
            return
        ended = [record for record in self._records.values() if record.ended]
        for record in ended[:surplus]:
            self._records.pop(record.attempt)
            self._forgotten_until = max(
                self._forgotten_until, record.accepted_at
            )
