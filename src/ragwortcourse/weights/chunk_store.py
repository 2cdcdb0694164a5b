"""Store of the chunks that a daemon has in memory."""

from typing import Final

from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.model_version import ModelVersion

# The deployed version and its successor.
VERSIONS_KEPT: Final = 2


class VersionChunks:
    """Verified chunks of one version, as far as they have arrived."""

    def __init__(self, *, manifest: FleetManifest) -> None:
        self.manifest = manifest
        self.contents: dict[int, bytes] = {}

    @property
    def missing(self) -> tuple[int, ...]:
        """Indices of the chunks that have not arrived yet."""
        return tuple(
            index
            for index in range(len(self.manifest.digests))
            if index not in self.contents
        )

    def take(self, index: int, content: bytes | None) -> bool:
        """Store a chunk if its digest matches; tell whether it does."""
        if content is None or not self.manifest.matches(index, content):
            return False
        self.contents[index] = content
        return True


class ChunkStore:
    """Chunks of the newest versions of each model.

    :param kept: number of versions that are kept of a model.
    """

    def __init__(self, *, kept: int = VERSIONS_KEPT) -> None:
        self._kept = kept
        self._versions: dict[ModelVersion, VersionChunks] = {}

    def find(self, version: ModelVersion) -> VersionChunks | None:
        """Return the chunks of a version, or ``None`` if it is not kept."""
        return self._versions.get(version)

    def find_newest_whole(self, model: ModelName) -> int:
        """Return a model's newest complete version, or zero without one."""
        complete = (
            known.version
            for known, chunks in self._versions.items()
            if known.model == model and not chunks.missing
        )
        return max(complete, default=0)

    def open(self, manifest: FleetManifest) -> VersionChunks:
        """Return the chunks of a version, which is kept from now on.

        Beyond the number of kept versions, the model's oldest other one is
        evicted.
        """
        opened = manifest.model_version
        if opened not in self._versions:
            self._versions[opened] = VersionChunks(manifest=manifest)
        others = sorted(
            known
            for known in self._versions
            if known.model == opened.model and known != opened
        )
        for old in others[: 1 - self._kept]:
            self._versions.pop(old)
        return self._versions[opened]
