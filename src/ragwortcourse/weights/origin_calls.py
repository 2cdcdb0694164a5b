"""What daemons of a fleet ask of the origin of weights."""

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
    """Calls of the origin at an address; none of them raises.

    :param read_manifest: digests of a version, unchecked.
    :param read_chunk: bytes of a chunk, unchecked.
    """

    read_manifest: ReadOriginManifest
    read_chunk: ReadOriginChunk

    async def read_manifest_twice(
        self, address: str, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Digests that were told twice alike: nothing else proves them."""
        first = await self.read_manifest(address, model, version)
        if first is None:
            return None
        second = await self.read_manifest(address, model, version)
        return first if first == second else None
