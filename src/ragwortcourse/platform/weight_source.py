"""The platform's origin of weights."""

from typing import Final

import aiohttp
import msgspec

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import ModelName, Sha256Hex
from ragwortcourse.weights.fleet_downloader import FleetDownloader
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.origin_calls import OriginCalls

# A chunk over the origin's whole link takes some ten milliseconds, over
# one shared by everybody much longer.
CALL_SECONDS: Final = 3.0
# An origin that is down does not answer at all; others are asked meanwhile.
CONNECT_SECONDS: Final = 0.4
TIMEOUT: Final = aiohttp.ClientTimeout(
    total=CALL_SECONDS, sock_connect=CONNECT_SECONDS
)
OK: Final = 200


class WireManifest(msgspec.Struct, kw_only=True):
    """Digests of one version.

    :param digests: hex SHA-256 of each chunk, in order.
    """

    version: int
    digests: list[str]


class WeightSource:
    """Calls of an origin."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def read_manifest(
        self, address: str, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Digests of a version; none where the origin does not tell.

        :param address: ``ip:port``; empty where no origin is known.
        """
        if not address:
            return None
        content = await self._read(
            f'http://{address}/manifest/{model}?version={version}'
        )
        try:
            wire = msgspec.json.decode(content or b'', type=WireManifest)
        except msgspec.DecodeError:
            # Cut or spoilt on its way; the caller asks again.
            return None
        if wire.version != version:
            return None
        return FleetManifest(
            model=model,
            version=version,
            digests=tuple(Sha256Hex(digest) for digest in wire.digests),
        )

    async def read_chunk(
        self, address: str, manifest: FleetManifest, index: int
    ) -> bytes | None:
        """Bytes of a chunk, unchecked."""
        return await self._read(
            f'http://{address}/piece/{manifest.model}'
            f'?num={index}&version={manifest.version}'
        )

    async def _read(self, url: str) -> bytes | None:
        try:
            async with self._session.get(url, timeout=TIMEOUT) as response:
                if response.status != OK:
                    return None
                return await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Other sources follow, then the origin again.
            return None


def build_weight_fetcher(
    *, session: aiohttp.ClientSession, state: FleetState
) -> FleetDownloader:
    """Drawing from other daemons and this origin."""
    source = WeightSource(session=session)
    return FleetDownloader(
        session=session,
        state=state,
        calls=OriginCalls(
            read_manifest=source.read_manifest, read_chunk=source.read_chunk
        ),
    )
