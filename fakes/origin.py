"""Stand-in origin of weights, in memory and over HTTP."""

import math
from collections.abc import Awaitable, Callable

from aiohttp import web

from fakes.faults import Fault, Faults
from ragwortcourse.clock import read_clock
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
    OriginWriter,
    ReserveOutcome,
    StoreOutcome,
    VersionTaken,
)

BODY_LIMIT_BYTES = 16_777_216

Carry = Callable[[int], Awaitable[None]]


class OriginStore:
    """Objects of the origin, its rate limit and its faults.

    :param requests_per_second: rate above which requests get a busy
        answer; zero for no limit.
    :param carry: sleeps for the time that a number of bytes takes on the
        origin's link.
    :ivar corrupt: number of further reads with corrupt content, by name.
    """

    def __init__(
        self,
        *,
        requests_per_second: float = 0,
        carry: Carry | None = None,
    ) -> None:
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.corrupt: dict[str, int] = {}
        self.bytes_sent = 0
        self.busy_answers = 0
        self.requests_per_second = requests_per_second
        self._carry = carry
        self._free_at = 0.0

    async def read(self, name: str) -> OriginOutcome:
        """Read an object, subject to the rate limit and the faults."""
        retry_after = self._apply_rate_limit()
        if retry_after:
            self.busy_answers += 1
            return OriginBusy(retry_after=retry_after)
        fault = self.faults.take()
        if fault is not None:
            await self.faults.wait()
        if fault in {Fault.REFUSED, Fault.DOWN, Fault.ANSWER_LOST}:
            return OriginFailed(detail=f'{name}: {fault}')
        content = self.objects.get(name)
        if content is None:
            return OriginFailed(detail=f'{name}: no such object')
        self.bytes_sent += len(content)
        if self._carry is not None:
            await self._carry(len(content))
        return OriginContent(content=self._damage(name, content, fault))

    def _apply_rate_limit(self) -> float:
        if not self.requests_per_second:
            return 0
        now = read_clock()
        self._free_at = max(self._free_at, now - 1)
        if self._free_at > now:
            return self._free_at - now
        self._free_at += 1 / self.requests_per_second
        return 0

    def _damage(self, name: str, content: bytes, fault: Fault | None) -> bytes:
        if self.corrupt.get(name, 0) > 0:
            self.corrupt[name] -= 1
            return b'\xff' + content[1:]
        if fault is Fault.GARBAGE:
            return b'\xff' + content[1:]
        if fault is Fault.TRUNCATED:
            return content[:-1]
        return content


def name_chunk(model: ModelName, version: VersionName, index: int) -> str:
    """Return the object name of a chunk."""
    return f'weights/{model}/{version}/{index}'


def name_manifest(digest: Sha256Hex) -> str:
    """Return the object name of a manifest."""
    return f'manifests/{digest}'


def build_memory_origin(store: OriginStore) -> WeightOrigin:
    """Build the read port to a store in this process."""

    async def read_manifest(digest: Sha256Hex) -> OriginOutcome:
        return await store.read(name_manifest(digest))

    async def read_chunk(
        model: ModelName, version: VersionName, index: int
    ) -> OriginOutcome:
        return await store.read(name_chunk(model, version, index))

    return WeightOrigin(read_manifest=read_manifest, read_chunk=read_chunk)


def build_memory_writer(store: OriginStore) -> OriginWriter:
    """Build the publication port to a store in this process."""

    async def reserve_version(
        model: ModelName, version: VersionName, digest: Sha256Hex
    ) -> ReserveOutcome:
        name = f'weights/{model}/{version}/manifest'
        found = store.objects.setdefault(name, digest.encode()).decode()
        if found == digest:
            return OriginStored()
        return VersionTaken(digest=Sha256Hex(found))

    async def write_chunk(
        model: ModelName, version: VersionName, index: int, content: bytes
    ) -> StoreOutcome:
        store.objects[name_chunk(model, version, index)] = content
        return OriginStored()

    async def write_manifest(digest: Sha256Hex, content: bytes) -> StoreOutcome:
        store.objects[name_manifest(digest)] = content
        return OriginStored()

    return OriginWriter(
        reserve_version=reserve_version,
        write_chunk=write_chunk,
        write_manifest=write_manifest,
    )


def build_origin_routes(
    *, store: OriginStore, prefix: str = '/origin'
) -> list[web.RouteDef]:
    """Build the routes of the origin's HTTP interface."""

    async def handle_get(request: web.Request) -> web.StreamResponse:
        outcome = await store.read(request.match_info['name'])
        if isinstance(outcome, OriginContent):
            return web.Response(body=outcome.content)
        if isinstance(outcome, OriginBusy):
            seconds = str(math.ceil(outcome.retry_after))
            return web.Response(status=429, headers={'retry-after': seconds})
        if outcome.detail.endswith('no such object'):
            return web.Response(status=404, text=outcome.detail)
        return web.Response(status=500, text=outcome.detail)

    async def handle_put(request: web.Request) -> web.StreamResponse:
        # request.read() fails: its size limit, set by the application, is
        # below the size of a chunk.
        body = bytearray()
        async for piece in request.content.iter_any():
            body += piece
            if len(body) > BODY_LIMIT_BYTES:
                return web.Response(status=413)
        name = request.match_info['name']
        if name in store.objects and 'if-none-match' in request.headers:
            return web.Response(status=412)
        store.objects[name] = bytes(body)
        return web.Response(status=204)

    return [
        web.get(prefix + '/{name:.+}', handle_get),
        web.put(prefix + '/{name:.+}', handle_put),
    ]
