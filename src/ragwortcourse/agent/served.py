"""Model versions that this agent's target may answer with."""

from ragwortcourse.identifiers import AdapterName, ModelName, VersionName
from ragwortcourse.messages.target_status import ServedVersion


class ServedVersions:
    """Versions verified whole and confirmed by the engine.

    The landing of weights adds and removes; the gate only reads.
    """

    def __init__(self) -> None:
        self._versions: dict[tuple[ModelName, VersionName], ServedVersion] = {}

    @property
    def versions(self) -> tuple[ServedVersion, ...]:
        """Everything the target may answer with now."""
        return tuple(self._versions.values())

    def confirm(self, served: ServedVersion) -> None:
        """Let the target answer with a version from now on."""
        self._versions[served.model, served.version] = served

    def remove(self, model: ModelName, version: VersionName) -> None:
        """Let nothing new be answered by a version."""
        self._versions.pop((model, version), None)

    def clear(self) -> None:
        """Forget all, after the engine started anew."""
        self._versions.clear()

    def allows(
        self,
        model: ModelName,
        version: VersionName,
        adapter: AdapterName | None,
    ) -> bool:
        """Tell whether the target may answer with just this version."""
        served = self._versions.get((model, version))
        if served is None:
            return False
        return adapter is None or adapter in served.adapters
