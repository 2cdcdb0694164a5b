"""HTTP adapter for the object store."""

from typing import Final
from urllib.parse import quote

import aiohttp

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.storage.objects import (
    ObjectFailed,
    ObjectName,
    ObjectRead,
    ObjectStore,
    ObjectWritten,
)

OBJECT_TIMEOUT_SECONDS: Final = 5.0
OBJECT_TIMEOUT: Final = aiohttp.ClientTimeout(total=OBJECT_TIMEOUT_SECONDS)
OK_STATUSES: Final = frozenset((200, 201, 204))
ABSENT_STATUS: Final = 404


def build_http_objects(
    *, session: aiohttp.ClientSession, base_url: str
) -> ObjectStore:
    """Build the port to an object store at a base URL."""

    def locate(name: ObjectName) -> str:
        return f'{base_url}/{quote(name)}'

    async def get(name: ObjectName) -> tuple[int, bytes]:
        async with session.get(
            locate(name), timeout=OBJECT_TIMEOUT
        ) as response:
            return response.status, await read_body(
                response, limit=LARGE_BODY_BYTES
            )

    async def put(name: ObjectName, content: bytes) -> int:
        async with session.put(
            locate(name), data=content, timeout=OBJECT_TIMEOUT
        ) as response:
            await read_body(response, limit=LARGE_BODY_BYTES)
            return response.status

    async def read(name: ObjectName) -> ObjectRead | ObjectFailed:
        try:
            status, content = await get(name)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return ObjectFailed(detail=f'{name}: {error!r}')
        if status == ABSENT_STATUS:
            return ObjectRead(content=None)
        if status not in OK_STATUSES:
            return ObjectFailed(detail=f'status {status} on reading {name}')
        return ObjectRead(content=content)

    async def write(
        name: ObjectName, content: bytes
    ) -> ObjectWritten | ObjectFailed:
        try:
            status = await put(name, content)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return ObjectFailed(detail=f'{name}: {error!r}')
        if status not in OK_STATUSES:
            return ObjectFailed(detail=f'status {status} on writing {name}')
        return ObjectWritten()

    return ObjectStore(read=read, write=write)
