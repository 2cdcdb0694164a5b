"""Construction of the daemon of each role and its listening sockets.

The modules of a role are imported only in daemons of that role: the modules
of the other roles would cost some megabytes of memory.
"""

import dataclasses
from collections.abc import Callable
from typing import Final, Protocol

from aiohttp import web

from ragwortcourse.ingress.client_limits import ClientLimits
from ragwortcourse.processes.sessions import Sessions
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.settings import FleetSettings, Role, Settings


class Daemon(Protocol):
    """Interface of the daemons of all roles."""

    def apply_fleet_settings(self, fleet: FleetSettings) -> None:
        """Apply changed settings of the fleet."""

    @property
    def last_connections_seconds(self) -> float:
        """Return the seconds that connections stay open after draining."""

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Return the routes of the port for other daemons."""

    def start(self, tasks: SupervisedTasks) -> None:
        """Start the background tasks."""

    def find_unready_reason(self) -> str | None:
        """Return why no new work is accepted; none if it is accepted."""

    async def drain(self) -> None:
        """Wait until all requests in progress have ended."""

    async def stop(self) -> None:
        """Release resources other than the background tasks."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenerPlan:
    """Address and routes of one listening socket.

    :param key: name of the address in the ``[listen]`` section.
    :param address: ``ip:port`` to listen on.
    """

    key: str
    address: str
    routes: list[web.RouteDef]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BuiltDaemon:
    """A daemon before its start, with its sockets except the watch port.

    :param read_client_limits: reads the limits that operators set for callers.
    """

    daemon: Daemon
    ports: tuple[ListenerPlan, ...]
    read_client_limits: Callable[[], ClientLimits] = ClientLimits


def build_daemon(*, settings: Settings, sessions: Sessions) -> BuiltDaemon:
    """Build the daemon for the role in the settings."""
    return BUILDERS[settings.role](settings, sessions)


def _build_entry(settings: Settings, sessions: Sessions) -> BuiltDaemon:
    from ragwortcourse.processes import entry_daemon  # noqa: WPS433

    entry = entry_daemon.build_entry_daemon(
        settings=settings, sessions=sessions
    )
    return BuiltDaemon(
        daemon=entry,
        ports=(
            _plan_peers(settings, entry),
            _plan_callers(settings, entry.caller_routes),
            ListenerPlan(
                key='operators',
                address=settings.listen.operators,
                routes=entry.operator_routes,
            ),
        ),
    )


def _build_agent(settings: Settings, sessions: Sessions) -> BuiltDaemon:
    from ragwortcourse.processes import agent_daemon  # noqa: WPS433

    agent = agent_daemon.build_agent_daemon(
        settings=settings, sessions=sessions
    )
    return BuiltDaemon(daemon=agent, ports=(_plan_peers(settings, agent),))


def _build_forwarder(settings: Settings, sessions: Sessions) -> BuiltDaemon:
    from ragwortcourse.processes import forwarder_daemon  # noqa: WPS433

    forwarder = forwarder_daemon.build_forwarder_daemon(settings=settings)
    return BuiltDaemon(
        daemon=forwarder,
        ports=(
            _plan_peers(settings, forwarder),
            _plan_callers(settings, forwarder.caller_routes),
        ),
        read_client_limits=forwarder.forwarder.state.read_client_limits,
    )


def _build_loader(settings: Settings, sessions: Sessions) -> BuiltDaemon:
    from ragwortcourse.processes import loader_daemon  # noqa: WPS433

    loader = loader_daemon.build_loader_daemon(settings=settings)
    return BuiltDaemon(daemon=loader, ports=(_plan_peers(settings, loader),))


def _plan_peers(settings: Settings, daemon: Daemon) -> ListenerPlan:
    return ListenerPlan(
        key='peers', address=settings.listen.peers, routes=daemon.peer_routes
    )


def _plan_callers(
    settings: Settings, routes: list[web.RouteDef]
) -> ListenerPlan:
    return ListenerPlan(
        key='callers', address=settings.listen.callers, routes=routes
    )


_Builder = Callable[[Settings, Sessions], BuiltDaemon]
BUILDERS: Final[dict[Role, _Builder]] = {
    Role.ENTRY: _build_entry,
    Role.AGENT: _build_agent,
    Role.FORWARDER: _build_forwarder,
    Role.LOADER: _build_loader,
}
