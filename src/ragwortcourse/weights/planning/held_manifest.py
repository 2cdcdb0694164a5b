"""Manifest of the version that the engine beside a loader holds.

Load pattern: the origin corrupts what it sends, or is away, while an engine is
added. The chunks of the version in force come from hosts that serve it, but
nobody can check them without its manifest. Each loader reads it at its start,
checks it against the chunks staged at its engine, and passes it on.
"""

import asyncio
import logging
from typing import Final

from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.model_version import ModelVersion

# Between two looks at the held version, which read local state.
WATCH_SECONDS: Final = 0.5
# Pause after a manifest that no source has, or that does not fit.
RETRY_SECONDS: Final = 2.0
# Staged chunks that are compared with the manifest. Chunks of another version
# differ in all of them.
CHUNKS_COMPARED: Final = 4

LOGGER: Final = logging.getLogger(__name__)


class HeldManifest:
    """Keeper of the manifest of the version that an engine holds."""

    def __init__(self, *, loader_weights: LoaderWeights) -> None:
        self._loader_weights = loader_weights
        self._kept: FleetManifest | None = None

    async def find(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return the manifest of a version if it is known here."""
        wanted = ModelVersion(model, version)
        downloaded = self._loader_weights.store.find(wanted)
        manifest = self._kept if downloaded is None else downloaded.manifest
        if manifest is None or manifest.model_version != wanted:
            return None
        return manifest

    async def keep(self) -> None:
        """Keep the manifest of the held version, forever."""
        while True:
            rules = self._loader_weights.find_rules()
            pause = WATCH_SECONDS
            if rules is not None:
                held = self._loader_weights.read_held(rules)
                if held and await self.find(rules.model, held) is None:
                    self._kept = await self._read(rules, held)
                    pause = RETRY_SECONDS
            await asyncio.sleep(pause)

    async def _read(
        self, rules: EngineProfile, version: int
    ) -> FleetManifest | None:
        ports = self._loader_weights.ports
        manifest = await ports.read_manifest(rules.model, version)
        if manifest is None or len(manifest.digests) != rules.chunks:
            return None
        step = max(rules.chunks // CHUNKS_COMPARED, 1)
        for index in range(0, rules.chunks, step):
            staged = await ports.engine.read_staged(rules.model, index)
            if staged is not None and not manifest.matches(index, staged):
                LOGGER.info(
                    'manifest does not fit a staged chunk',
                    extra={
                        'model': rules.model,
                        'version': version,
                        'chunk': index,
                    },
                )
                return None
        return manifest
