"""Client of the platform's origins of weights."""

import logging
from typing import Final

import aiohttp
import msgspec

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.bounded import WholeNumber
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import ModelName, Sha256Hex
from ragwortcourse.unreadable import UnreadableError
from ragwortcourse.weights.fleet_downloader import FleetDownloader
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.origin_calls import OriginCalls
from ragwortcourse.weights.planning.loader_demand import (
    LoaderDemand,
    want_always,
)

# Longest time without a byte. The calls of all roots share the origin's link,
# and a call that is given up would have to send its first bytes again.
SILENT_SECONDS: Final = 3.0
# Longest time of a call in progress.
CALL_SECONDS: Final = 15.0
# An origin that is down does not answer; other sources are asked meanwhile.
CONNECT_SECONDS: Final = 0.4
TIMEOUT: Final = aiohttp.ClientTimeout(
    total=CALL_SECONDS,
    sock_connect=CONNECT_SECONDS,
    sock_read=SILENT_SECONDS,
)
OK: Final = 200

LOGGER: Final = logging.getLogger(__name__)


class WireManifest(msgspec.Struct, kw_only=True):
    """Chunk digests of one version.

    :param model: empty if the origin does not state it.
    :param digests: hex SHA-256 of each chunk, in order.
    """

    model: str = ''
    version: WholeNumber
    digests: list[str]


class WeightSource:
    """Client of an origin of weights."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def read_manifest(
        self, address: str, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Read the digests of a version; None if the origin has no answer.

        :param address: ``ip:port``; empty if no origin is known.
        """
        if not address:
            return None
        content = await self._read(
            f'http://{address}/manifest/{model}?version={version}'
        )
        if content is None:
            return None
        try:
            wire = decode_json(content, WireManifest)
        except UnreadableError as error:
            # Truncated or corrupted in transit; the caller retries.
            LOGGER.info(
                'unreadable manifest of an origin',
                extra={
                    'model': model,
                    'version': version,
                    'detail': str(error),
                },
            )
            return None
        if wire.version != version or wire.model not in {'', model}:
            LOGGER.warning(
                'manifest of other weights from an origin',
                extra={
                    'model': model,
                    'version': version,
                    'found_model': wire.model,
                    'found_version': wire.version,
                },
            )
            return None
        return FleetManifest(
            model=model,
            version=version,
            digests=tuple(Sha256Hex(digest) for digest in wire.digests),
        )

    async def read_chunk(
        self, address: str, manifest: FleetManifest, index: int
    ) -> bytes | None:
        """Read a chunk without verification; None if the origin fails."""
        return await self._read(
            f'http://{address}/piece/{manifest.model}'
            f'?num={index}&version={manifest.version}'
        )

    async def _read(self, url: str) -> bytes | None:
        try:
            async with self._session.get(url, timeout=TIMEOUT) as response:
                if response.status != OK:
                    return None
                return await read_body(response, limit=LARGE_BODY_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The caller asks other sources, then the origin again.
            return None


def build_weight_downloader(
    *,
    session: aiohttp.ClientSession,
    state: FleetState,
    demand: LoaderDemand | None = None,
) -> FleetDownloader:
    """Build the downloader from other daemons and the origin.

    :param demand: versions that others ask for here; entry daemons only.
    """
    source = WeightSource(session=session)
    return FleetDownloader(
        session=session,
        state=state,
        calls=OriginCalls(
            read_manifest=source.read_manifest, read_chunk=source.read_chunk
        ),
        is_relay=demand is not None,
        is_current=want_always if demand is None else demand.is_current,
    )
