"""Persistence of the stand-in platform's state across a crash."""

import pathlib

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from fakes.platform_state import Platform
from ragwortcourse.membership.hosts import HostRecord
from ragwortcourse.storage.objects import ObjectName
from ragwortcourse.storage.table import Row


class SavedState(msgspec.Struct, kw_only=True):
    """Contents of the state file."""

    rows: list[Row]
    objects: dict[str, bytes]
    records: list[HostRecord]
    weights: dict[str, bytes]


def keep(platform: Platform, path: pathlib.Path) -> None:
    """Replace the state file atomically."""
    saved = SavedState(
        rows=list(platform.rows.rows.values()),
        objects={str(name): body for name, body in platform.objects.items()},
        records=platform.records,
        weights=platform.origin.objects,
    )
    temporary = path.with_suffix('.new')
    temporary.write_bytes(msgspec.msgpack.encode(saved))
    temporary.replace(path)


def restore(platform: Platform, path: pathlib.Path) -> None:
    """Load the state of an earlier process, if there is a state file."""
    if not path.exists():
        return
    saved = msgspec.msgpack.decode(path.read_bytes(), type=SavedState)
    platform.rows.rows.update({row.key: row for row in saved.rows})
    platform.objects.update(
        {ObjectName(name): body for name, body in saved.objects.items()}
    )
    platform.records.extend(saved.records)
    platform.origin.objects.update(saved.weights)


def build_save_middleware(platform: Platform, path: pathlib.Path) -> Middleware:
    """Build a middleware that saves each change before it is answered."""

    @web.middleware
    async def save_changes(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        finally:
            if request.method != 'GET' and request.path != '/table/read':
                keep(platform, path)

    return save_changes
