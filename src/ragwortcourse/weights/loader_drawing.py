"""How a loader draws a chunk."""

import aiohttp

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.settings import Settings
from ragwortcourse.weights.chunk_routes import fetch_chunk
from ragwortcourse.weights.chunk_sources import list_loader_sources
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.loading_ports import DrawChunk
from ragwortcourse.weights.peer_reach import PeerReach
from ragwortcourse.weights.relay_drawing import (
    ListRelays,
    ReadOriginChunk,
    find_origin,
)


def build_loader_drawing(
    *,
    settings: Settings,
    state: FleetState,
    session: aiohttp.ClientSession,
    list_relays: ListRelays,
    read_origin_chunk: ReadOriginChunk,
) -> DrawChunk:
    """Draws from the relays, and from the origin where none has a chunk."""
    reach = PeerReach()

    async def draw(
        manifest: FleetManifest, index: int, rate: int
    ) -> bytes | None:
        relays = list_loader_sources(
            relays=await list_relays(),
            domain=settings.failure_domain,
            index=index,
        )
        addresses = [relay.address for relay in relays]
        for address in reach.order(addresses):
            content = await fetch_chunk(
                session=session,
                reach=reach,
                address=address,
                manifest=manifest,
                index=index,
                rate=rate,
            )
            if manifest.matches(index, content):
                return content
        origin = find_origin(state)
        if origin is None:
            return None
        return await read_origin_chunk(origin.origin, manifest, index)

    return draw
