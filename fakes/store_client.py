"""Clients of the fake store."""

import contextlib
from collections.abc import AsyncIterator

from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from fakes.fleet_store import FleetStore
from ragwortcourse.platform.store import Store


@contextlib.asynccontextmanager
async def open_store_client(fake: FleetStore) -> AsyncIterator[Store]:
    """Serve a fake store on a free port, with a client of it."""
    async with TestServer(fake.build_app()) as server, ClientSession() as http:
        yield Store(session=http, address=f'127.0.0.1:{server.port}')
