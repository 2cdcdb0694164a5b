"""HTTP adapters for the origin of weights."""

import asyncio
from http import HTTPStatus
from typing import Final

import aiohttp

from ragwortcourse.bodies import (
    LARGE_BODY_BYTES,
    SMALL_BODY_BYTES,
    read_body,
)
from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName
from ragwortcourse.weights.origin import (
    OriginBusy,
    OriginContent,
    OriginFailed,
    OriginOutcome,
    WeightOrigin,
)
from ragwortcourse.weights.origin_writer import (
    OriginStored,
    OriginUnreached,
    OriginWriter,
    ReserveOutcome,
    StoreOutcome,
    VersionTaken,
)

# Silence on a connection after which the origin counts as stalled.
STALL_SECONDS: Final = 10.0
DEFAULT_RETRY_SECONDS: Final = 1.0
TIMEOUT: Final = aiohttp.ClientTimeout(
    total=None, sock_connect=STALL_SECONDS, sock_read=STALL_SECONDS
)
BUSY_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
FAILURES: Final = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


def parse_retry_after(text: str | None) -> float:
    """Return the seconds in a ``Retry-After`` header, or the default."""
    try:
        return max(float(text or DEFAULT_RETRY_SECONDS), 0)
    except ValueError:
        return DEFAULT_RETRY_SECONDS


async def read_origin(
    session: aiohttp.ClientSession, url: str
) -> OriginOutcome:
    """Read one object from the origin.

    :param url: absolute.
    """
    try:
        async with session.get(url, timeout=TIMEOUT) as response:
            if response.status in BUSY_STATUSES:
                retry = response.headers.get('retry-after')
                return OriginBusy(retry_after=parse_retry_after(retry))
            if response.status != HTTPStatus.OK:
                return OriginFailed(detail=f'{url}: status {response.status}')
            content = await read_body(response, limit=LARGE_BODY_BYTES)
            return OriginContent(content=content)
    except FAILURES as error:
        return OriginFailed(detail=f'{url}: {error!r}')


async def write_origin(
    session: aiohttp.ClientSession, url: str, content: bytes
) -> StoreOutcome:
    """Store one object at the origin.

    :param url: absolute.
    """
    try:
        async with session.put(url, data=content, timeout=TIMEOUT) as response:
            if response.ok:
                return OriginStored()
            return OriginFailed(detail=f'{url}: status {response.status}')
    except FAILURES as error:
        return OriginFailed(detail=f'{url}: {error!r}')


async def reserve_origin(
    session: aiohttp.ClientSession, url: str, digest: Sha256Hex
) -> ReserveOutcome:
    """Reserve a name at the origin for a digest, unless another one has it.

    An origin with conditional writes accepts one of two publishers. With an
    origin without them, the last write wins and both publishers read it back.

    :param url: absolute.
    """
    try:
        found = await _read_digest(session, url)
        if found is None:
            async with session.put(
                url,
                data=digest,
                headers={'If-None-Match': '*'},
                timeout=TIMEOUT,
            ):
                found = await _read_digest(session, url)
    except aiohttp.ClientConnectorError as error:
        return OriginUnreached(detail=f'{url}: {error}')
    except FAILURES as error:
        return OriginFailed(detail=f'{url}: {error!r}')
    if found is None:
        return OriginFailed(detail=f'{url}: not kept by the origin')
    return OriginStored() if found == digest else VersionTaken(digest=found)


async def _read_digest(
    session: aiohttp.ClientSession, url: str
) -> Sha256Hex | None:
    async with session.get(url, timeout=TIMEOUT) as response:
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        response.raise_for_status()
        digest = await read_body(response, limit=SMALL_BODY_BYTES)
        return Sha256Hex(digest.decode(errors='replace'))


def build_http_origin(
    *, session: aiohttp.ClientSession, base_url: str
) -> WeightOrigin:
    """Build the port to the origin at a base URL."""

    async def read_manifest(digest: Sha256Hex) -> OriginOutcome:
        return await read_origin(session, f'{base_url}/manifests/{digest}')

    async def read_chunk(
        model: ModelName, version: VersionName, index: int
    ) -> OriginOutcome:
        url = f'{base_url}/weights/{model}/{version}/{index}'
        return await read_origin(session, url)

    return WeightOrigin(read_manifest=read_manifest, read_chunk=read_chunk)


def build_http_writer(
    *, session: aiohttp.ClientSession, base_url: str
) -> OriginWriter:
    """Build the port for publication to the origin at a base URL."""

    async def reserve_version(
        model: ModelName, version: VersionName, digest: Sha256Hex
    ) -> ReserveOutcome:
        url = f'{base_url}/weights/{model}/{version}/manifest'
        return await reserve_origin(session, url, digest)

    async def write_chunk(
        model: ModelName, version: VersionName, index: int, content: bytes
    ) -> StoreOutcome:
        url = f'{base_url}/weights/{model}/{version}/{index}'
        return await write_origin(session, url, content)

    async def write_manifest(digest: Sha256Hex, content: bytes) -> StoreOutcome:
        url = f'{base_url}/manifests/{digest}'
        return await write_origin(session, url, content)

    return OriginWriter(
        reserve_version=reserve_version,
        write_chunk=write_chunk,
        write_manifest=write_manifest,
    )
