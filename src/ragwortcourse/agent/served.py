"""Model versions that this agent's target may serve."""

from ragwortcourse.identifiers import AdapterName, ModelName, VersionName
from ragwortcourse.messages.target_status import ServedVersion


class ServedVersions:
    """Model versions fully verified and confirmed by the engine.

    The transfer of weights adds and removes versions; admission only reads
    them.
    """

    def __init__(self) -> None:
        self._versions: dict[tuple[ModelName, VersionName], ServedVersion] = {}

    @property
    def versions(self) -> tuple[ServedVersion, ...]:
        """Model versions that the target may serve."""
        return tuple(self._versions.values())

    def confirm(self, served: ServedVersion) -> None:
        """Allow the target to serve a version."""
        self._versions[served.model, served.version] = served

    def remove(self, model: ModelName, version: VersionName) -> None:
        """Disallow a version for new work; running work is not affected."""
        self._versions.pop((model, version), None)

    def clear(self) -> None:
        """Remove all versions, after the engine has restarted."""
        self._versions.clear()

    def allows(
        self,
        model: ModelName,
        version: VersionName,
        adapter: AdapterName | None,
    ) -> bool:
        """Tell whether the target may serve the version, with the adapter."""
        served = self._versions.get((model, version))
        if served is None:
            return False
        return adapter is None or adapter in served.adapters
