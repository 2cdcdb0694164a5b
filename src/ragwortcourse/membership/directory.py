"""The targets and peers that this daemon watches."""

from ragwortcourse.identifiers import DeploymentName, TargetName
from ragwortcourse.membership.target_record import TargetRecord


class TargetDirectory:
    """Targets by deployment, as membership last saw them."""

    def __init__(self) -> None:
        self._records: dict[TargetName, TargetRecord] = {}

    @property
    def records(self) -> tuple[TargetRecord, ...]:
        """Every target watched."""
        return tuple(self._records.values())

    def find(self, target: TargetName) -> TargetRecord | None:
        """Look one target up by name."""
        return self._records.get(target)

    def select(self, deployment: DeploymentName) -> tuple[TargetRecord, ...]:
        """List the watched targets of one deployment."""
        return tuple(
            record
            for record in self._records.values()
            if record.deployment == deployment
        )

    def put(self, record: TargetRecord) -> None:
        """Watch a target, or replace what was believed of it."""
        self._records[record.target] = record

    def drop(self, target: TargetName) -> None:
        """Stop watching a target."""
        self._records.pop(target, None)
