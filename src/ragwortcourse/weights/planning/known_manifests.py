"""Manifests that an entry daemon keeps for others.

Load pattern: the origin corrupts what it sends, or is away, while an engine is
added. The manifests of the versions in service are read while the origin is
well, and kept.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.model_version import ModelVersion

ReadManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]
ListVersions = Callable[[], Sequence[tuple[ModelName, int]]]

# Between two looks at the versions that engines hold, which read local state.
WATCH_SECONDS: Final = 1.0
# Manifests of a model that are kept, some kilobytes each.
MANIFESTS_KEPT: Final = 8


class KnownManifests:
    """Manifests that were read, and the reader of others.

    :param read_manifest: reads a manifest from another source.
    """

    def __init__(self, *, read_manifest: ReadManifest) -> None:
        self._read_manifest = read_manifest
        self._known: dict[ModelVersion, FleetManifest] = {}

    async def read(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return a manifest that was read before, or read it."""
        wanted = ModelVersion(model, version)
        known = self._known.get(wanted)
        if known is not None:
            return known
        manifest = await self._read_manifest(model, version)
        if manifest is not None:
            self._known[wanted] = manifest
            same = sorted(each for each in self._known if each.model == model)
            for old in same[:-MANIFESTS_KEPT]:
                self._known.pop(old)
        return manifest

    async def keep(self, list_held: ListVersions) -> None:
        """Read the manifests of versions in service, forever.

        :param list_held: lists the versions of each model that engines hold.
        """
        while True:
            for model, version in list_held():
                await self.read(model, version)
            await asyncio.sleep(WATCH_SECONDS)
