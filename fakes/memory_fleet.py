"""Network of a fleet in one process: calls and datagrams in virtual time."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from types import SimpleNamespace
from typing import Any, cast
from urllib.parse import urlsplit

import aiohttp
from aiohttp import web

from fakes.suspension import Suspension

# Of a call, until its sender hears that nobody listens at the address.
REFUSAL_SECONDS = 0.001

Handler = Callable[[Any], Awaitable[web.StreamResponse]]
Receive = Callable[[bytes, object], None]


class MemoryFleet:
    """Addresses, what listens there, and what harms the ways between them.

    :param rng: draws transit times and lost datagrams.
    :ivar transit: shortest and longest seconds of one way.
    :ivar loss: share of the datagrams that are lost.
    :ivar cut: pairs of a sender's and a receiver's address; what goes that
        way is lost.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.transit = (0.0005, 0.003)
        self.loss = 0.0
        self.cut: set[tuple[str, str]] = set()
        self._rng = rng
        self._handlers: dict[str, Mapping[str, Handler]] = {}
        self._suspensions: dict[str, Suspension] = {}
        self._receivers: dict[str, Receive] = {}

    def listen(
        self,
        address: str,
        routes: list[web.RouteDef],
        suspension: Suspension | None = None,
    ) -> None:
        """Serve routes at an address.

        :param suspension: holds calls to the address.
        """
        self._suspensions[address] = suspension or Suspension()
        self._handlers[address] = {
            f'{route.method} {route.path}': route.handler for route in routes
        }

    def receive(self, address: str, receive: Receive) -> None:
        """Take the datagrams to an address."""
        self._receivers[address] = receive

    def stop(self, address: str) -> None:
        """Let nothing listen at an address any more."""
        self._handlers.pop(address, None)
        self._receivers.pop(address, None)

    def send(self, sender: str, content: bytes, address: str) -> None:
        """Send a datagram."""
        if (sender, address) in self.cut or self._rng.random() < self.loss:
            return
        asyncio.get_running_loop().call_later(
            self._rng.uniform(*self.transit),
            self._deliver,
            sender,
            content,
            address,
        )

    async def call(
        self, sender: str, method: str, url: str, query: Mapping[str, str]
    ) -> web.Response:
        """Make one call; a cut way leaves it without an answer."""
        parts = urlsplit(url)
        address = parts.netloc
        await self._travel(sender, address)
        routes = self._handlers.get(address)
        if routes is None:
            await asyncio.sleep(REFUSAL_SECONDS)
            raise aiohttp.ClientConnectionError(f'{address}: refused')
        request = SimpleNamespace(path=parts.path, query=query)
        suspension = self._suspensions[address]
        await suspension.wait()
        try:
            answer = await routes[f'{method} {parts.path}'](request)
        except web.HTTPException as error:
            answer = error
        await suspension.wait()
        if self._handlers.get(address) is not routes:
            raise aiohttp.ServerDisconnectedError
        await self._travel(address, sender)
        return cast('web.Response', answer)

    def _deliver(self, sender: str, content: bytes, address: str) -> None:
        receive = self._receivers.get(address)
        if receive is not None:
            receive(content, sender)

    async def _travel(self, sender: str, receiver: str) -> None:
        if (sender, receiver) in self.cut:
            await asyncio.Event().wait()
        await asyncio.sleep(self._rng.uniform(*self.transit))


class MemorySession:
    """The part of an HTTP session that readers of rows use.

    :param own: address of the caller.
    """

    def __init__(self, *, fleet: MemoryFleet, own: str) -> None:
        self._fleet = fleet
        self._own = own

    @contextlib.asynccontextmanager
    async def get(
        self,
        url: str,
        *,
        params: Mapping[str, str],
        timeout: aiohttp.ClientTimeout,
    ) -> AsyncIterator[SimpleNamespace]:
        """Make a call; it fails after the time without an answer."""
        async with asyncio.timeout(timeout.sock_read):
            answer = await self._fleet.call(self._own, 'GET', url, params)
        yield _wrap(url, answer)


def _wrap(url: str, answer: web.Response) -> SimpleNamespace:
    body = answer.body if isinstance(answer.body, bytes) else b''

    async def iterate() -> AsyncIterator[bytes]:
        yield body

    return SimpleNamespace(
        url=url,
        status=answer.status,
        headers=answer.headers,
        content=SimpleNamespace(iter_any=iterate),
    )
