"""Runner of an HTTP server whose connections are guarded."""

import asyncio
import typing

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ragwortcourse.ingress.guarded_protocol import GuardedProtocol
from ragwortcourse.ingress.ingress import Ingress


class GuardedServer:
    """Factory of guarded protocols that share aiohttp's server.

    :ivar guarded: guard of each open connection, by aiohttp's protocol.
    """

    def __init__(
        self, *, server: web.Server, ingress: Ingress, is_limited: bool
    ) -> None:
        self.guarded: dict[RequestHandler, GuardedProtocol] = {}
        self._server = server
        self._ingress = ingress
        self._is_limited = is_limited

    def __call__(self) -> asyncio.Protocol:
        """Build the protocol of a new connection."""
        inner = self._server()
        made = GuardedProtocol(
            inner=inner,
            ingress=self._ingress,
            is_limited=self._is_limited,
            note_lost=self._forget,
        )
        self.guarded[inner] = made
        return made

    @property
    def connections(self) -> list[RequestHandler]:
        """Return aiohttp's protocols of the open connections."""
        return self._server.connections

    def _forget(self, inner: RequestHandler) -> None:
        self.guarded.pop(inner, None)


class GuardedRunner(web.AppRunner):
    """Runner whose sites open guarded connections.

    :param ingress: connections of all clients; none for no guard.
    :param is_limited: true if the limits of the desired state apply.
    """

    def __init__(
        self,
        app: web.Application,
        *,
        ingress: Ingress | None,
        is_limited: bool,
        **options: typing.Any,
    ) -> None:
        super().__init__(app, **options)
        self._ingress = ingress
        self._is_limited = is_limited
        self._guarded_server: GuardedServer | None = None

    @property
    def server(self) -> web.Server | None:
        """Server whose call builds the protocol of a new connection."""
        server = super().server
        if server is None or self._ingress is None:
            return server
        if self._guarded_server is None:
            self._guarded_server = GuardedServer(
                server=server,
                ingress=self._ingress,
                is_limited=self._is_limited,
            )
        # Sites call the server and read its connections, no more.
        return typing.cast('web.Server', self._guarded_server)

    def find_guard(self, inner: RequestHandler) -> GuardedProtocol | None:
        """Find the guard of a connection; none without a guard."""
        if self._guarded_server is None:
            return None
        return self._guarded_server.guarded.get(inner)
