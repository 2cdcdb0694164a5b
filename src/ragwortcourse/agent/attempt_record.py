"""What the agent keeps of one attempt."""

import dataclasses

from ragwortcourse.identifiers import AttemptId, VersionName
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class AttemptRecord:
    """How far one attempt came.

    :param accepted_at: monotonic seconds.
    :param state: none while the attempt waits at the gate.
    """

    attempt: AttemptId
    accepted_at: float
    state: AttemptState | None = None
    version: VersionName | None = None
    status: int | None = None
    suspect: bool = False

    @property
    def ended(self) -> bool:
        """Tell whether nothing more can happen to the attempt."""
        return self.state not in {None, AttemptState.RUNNING}

    def to_report(self) -> AttemptReport:
        """Report of a record whose state is known."""
        return AttemptReport(
            attempt=self.attempt,
            state=self.state or AttemptState.RUNNING,
            version=self.version,
            status=self.status,
            suspect=self.suspect,
        )
