"""The daemon of each role, with the ports that it opens.

The modules of a role are imported only where it runs: those of the others
would cost some megabytes.
"""

import dataclasses
from collections.abc import Callable
from typing import Final, Protocol

from aiohttp import web

from ragwortcourse.processes.sessions import Sessions
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.settings import FleetSettings, Role, Settings


class Daemon(Protocol):
    """What either role offers."""

    def apply_fleet_settings(self, fleet: FleetSettings) -> None:
        """Take other bounds over."""

    @property
    def last_connections_seconds(self) -> float:
        """How long connections stay open once everything has ended."""

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Routes of the port for other daemons."""

    def start(self, tasks: SupervisedTasks) -> None:
        """Run the endless tasks."""

    def find_unready_reason(self) -> str | None:
        """Why no work is taken now, none if it is."""

    async def drain(self) -> None:
        """Return once everything under way has ended."""

    async def stop(self) -> None:
        """End what runs beside the endless tasks."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenerPlan:
    """One listening socket.

    :param key: its name in the settings.
    """

    key: str
    address: str
    routes: list[web.RouteDef]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BuiltDaemon:
    """A daemon that does not run yet, and its ports but the watch port."""

    daemon: Daemon
    ports: tuple[ListenerPlan, ...]


def build_daemon(*, settings: Settings, sessions: Sessions) -> BuiltDaemon:
    """The daemon that the settings ask for."""
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
