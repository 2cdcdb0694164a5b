"""The attempts that this agent has seen, as far back as it remembers."""

import collections
from typing import Final

from ragwortcourse.agent.attempt_record import AttemptRecord
from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState
from ragwortcourse.messages.peer_port import BAR_TIMEOUT_SECONDS

MAX_RECORDS: Final = 8192


class AttemptRecords:
    """Bounded; knows from when on "never seen" is still a proof.

    :param max_records: ended attempts beyond this are forgotten, the
        oldest first.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: collections.OrderedDict[AttemptId, AttemptRecord] = (
            collections.OrderedDict()
        )
        # What was accepted up to here may have been forgotten; an agent
        # that starts has forgotten whatever an earlier one accepted.
        self._forgotten_until = read_clock()

    def find(self, attempt: AttemptId) -> AttemptRecord | None:
        """Look one attempt up."""
        return self._records.get(attempt)

    def accept(self, attempt: AttemptId) -> AttemptRecord:
        """Keep a record of an attempt not seen before."""
        record = AttemptRecord(attempt=attempt, accepted_at=read_clock())
        self._records[attempt] = record
        self._trim()
        return record

    def drop_refused(self, record: AttemptRecord) -> None:
        """Forget an attempt that was turned down and never ran."""
        if record.state is not AttemptState.BARRED:
            self._records.pop(record.attempt, None)

    def bar(self, attempt: AttemptId, age: float) -> AttemptReport:
        """Report an attempt, and bar it if it never started.

        :param age: seconds since it was sent, reckoned when the question
            was; the question took at most ``BAR_TIMEOUT_SECONDS``.
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
