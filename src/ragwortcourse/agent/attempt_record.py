"""The agent's record of one attempt."""

import dataclasses

from ragwortcourse.identifiers import AttemptId, VersionName
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class AttemptRecord:
    """Progress of one attempt.

    :param accepted_at: monotonic seconds.
    :param state: none while the attempt waits at the gate.
    :param version: model version that runs the attempt; none for services.
    :param status: HTTP status of the target's answer, once it has one.
    :param suspect: true if the target crashed while it ran the attempt.
    """

    attempt: AttemptId
    accepted_at: float
    state: AttemptState | None = None
    version: VersionName | None = None
    status: int | None = None
    suspect: bool = False

    @property
    def ended(self) -> bool:
        """Tell whether the attempt has reached a final state."""
        return self.state not in {None, AttemptState.RUNNING}

    def to_report(self) -> AttemptReport:
        """Build the report of an attempt whose state is set."""
        return AttemptReport(
            attempt=self.attempt,
            state=self.state or AttemptState.RUNNING,
            version=self.version,
            status=self.status,
            suspect=self.suspect,
        )
