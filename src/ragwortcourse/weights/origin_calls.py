"""Calls from the daemons of a fleet to the origin of weights."""

import dataclasses
from collections.abc import Awaitable, Callable

from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.fleet_manifest import FleetManifest

ReadOriginManifest = Callable[
    [str, ModelName, int], Awaitable[FleetManifest | None]
]
ReadOriginChunk = Callable[[str, FleetManifest, int], Awaitable[bytes | None]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginCalls:
    """Calls to the origin at an address; they return ``None`` on failure.

    :param read_manifest: reads the manifest of a version, unverified.
    :param read_chunk: reads the bytes of a chunk, unverified.
    """

    read_manifest: ReadOriginManifest
    read_chunk: ReadOriginChunk

    async def read_manifest_twice(
        self, address: str, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return the manifest if two reads agree.

        Nothing else verifies the digests in the manifest.
        """
        first = await self.read_manifest(address, model, version)
        if first is None:
            return None
        second = await self.read_manifest(address, model, version)
        return first if first == second else None
