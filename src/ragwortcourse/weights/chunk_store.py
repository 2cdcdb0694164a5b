"""Chunks of the versions that a loader has in memory."""

from typing import Final

from ragwortcourse.weights.fleet_manifest import FleetManifest

# The version in force and the one that follows it.
VERSIONS_KEPT: Final = 2


class VersionChunks:
    """Chunks of one version, checked, as they arrive."""

    def __init__(self, *, manifest: FleetManifest) -> None:
        self.manifest = manifest
        self.contents: dict[int, bytes] = {}

    @property
    def missing(self) -> tuple[int, ...]:
        """Chunks that are not here yet."""
        return tuple(
            index
            for index in range(len(self.manifest.digests))
            if index not in self.contents
        )

    def take(self, index: int, content: bytes | None) -> bool:
        """Keep a chunk if it is one of this version; say whether it is."""
        if content is None or not self.manifest.matches(index, content):
            return False
        self.contents[index] = content
        return True


class ChunkStore:
    """The newest versions of one model."""

    def __init__(self) -> None:
        self._versions: dict[int, VersionChunks] = {}

    def find(self, version: int) -> VersionChunks | None:
        """Chunks of a version, if it is kept."""
        return self._versions.get(version)

    def find_newest_whole(self) -> int:
        """Newest version without missing chunks; zero where there is none."""
        whole = (
            version
            for version, chunks in self._versions.items()
            if not chunks.missing
        )
        return max(whole, default=0)

    def open(self, manifest: FleetManifest) -> VersionChunks:
        """Chunks of a version, kept from now on; the oldest other one goes."""
        version = manifest.version
        if version not in self._versions:
            self._versions[version] = VersionChunks(manifest=manifest)
        others = sorted(self._versions.keys() - {version})
        for old in others[: 1 - VERSIONS_KEPT]:
            self._versions.pop(old)
        return self._versions[version]
