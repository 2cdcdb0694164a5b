"""Directory of the targets that this daemon watches."""

from ragwortcourse.identifiers import DeploymentName, TargetName
from ragwortcourse.membership.target_record import TargetRecord


class TargetDirectory:
    """Records of the watched targets, by name and by deployment."""

    def __init__(self) -> None:
        self._records: dict[TargetName, TargetRecord] = {}

    @property
    def records(self) -> tuple[TargetRecord, ...]:
        """Return the records of all watched targets."""
        return tuple(self._records.values())

    def find(self, target: TargetName) -> TargetRecord | None:
        """Return the record of a target; none if it is not watched."""
        return self._records.get(target)

    def select(self, deployment: DeploymentName) -> tuple[TargetRecord, ...]:
        """Return the records of one deployment's watched targets."""
        return tuple(
            record
            for record in self._records.values()
            if record.deployment == deployment
        )

    def put(self, record: TargetRecord) -> None:
        """Add the record of a target, or replace the existing record."""
        self._records[record.target] = record

    def drop(self, target: TargetName) -> None:
        """Remove the record of a target."""
        self._records.pop(target, None)
