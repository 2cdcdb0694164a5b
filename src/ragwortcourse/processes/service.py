"""Start, drain and stop of a daemon in its process."""

import asyncio
import contextlib
import logging
import os
import pathlib
import signal
from typing import Final

from aiohttp import web
from aiomisc import Service

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.ingress.gauges import watch_ingress
from ragwortcourse.ingress.resources import build_ingress
from ragwortcourse.processes.assembly import Daemon, build_daemon
from ragwortcourse.processes.health import build_health_routes
from ragwortcourse.processes.heap import fix_mmap_threshold
from ragwortcourse.processes.reload import follow_settings, list_changes
from ragwortcourse.processes.sessions import open_sessions
from ragwortcourse.processes.sites import (
    end_connections,
    finish_bodies,
    open_site,
    stop_listening,
)
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.processes.unusable_addresses import UnusableAddressesError
from ragwortcourse.settings import Role, Settings
from ragwortcourse.telemetry.metrics_page import build_metrics_route

# Time to close the sockets of a fleet's daemon, which is killed soon.
FORCED_CLOSE_SECONDS: Final = 0.4
# Together with ``last_connections_seconds`` longer than a sender goes without
# an answer to a heartbeat.
OUTCOME_QUERY_SECONDS: Final = 1.5
# Agents hold chunks of weights, forwarders bodies and answers of megabytes.
LARGE_BLOCK_ROLES: Final = frozenset((Role.AGENT, Role.FORWARDER))
# Time for the request on the connection that was accepted last.
LAST_REQUEST_SECONDS: Final = 0.3

LOGGER: Final = logging.getLogger(__name__)


def describe_cause(error: OSError) -> str:
    """Return the system's text for an error, without the address."""
    return os.strerror(error.errno) if error.errno else str(error)


class DaemonService(Service):
    """One daemon in its process, with a graceful stop.

    :param path: settings file, reloaded when the file changes.
    :ivar broken: true once a background task has failed.
    :ivar leaving: true from the start of the drain.
    """

    def __init__(self, *, settings: Settings, path: pathlib.Path) -> None:
        super().__init__()
        self.settings = settings
        self.path = path
        self.broken = False
        self.leaving = False
        self.runners: list[web.AppRunner] = []
        self._findings: list[Finding] = []

    async def start(self) -> None:
        """Open the listening sockets and run until stopped.

        :raises UnusableAddressesError: an address cannot be listened on; no
            task was started.
        """
        if self.settings.role in LARGE_BLOCK_ROLES:
            fix_mmap_threshold()
        self.sessions = open_sessions()
        self.tasks = SupervisedTasks()
        self.daemon = await self._open_daemon()
        if self._findings:
            await self._close()
            raise UnusableAddressesError(findings=tuple(self._findings))
        self.daemon.start(self.tasks)
        watch_ingress(self.ingress)
        self.tasks.start('watch clients', self.ingress.run())
        self.tasks.start(
            'follow settings',
            follow_settings(
                path=self.path, settings=self.settings, apply=self._apply
            ),
        )
        self.start_event.set()
        LOGGER.info('started', extra={'peers': self.settings.listen.peers})
        try:
            await self.tasks.failed
        except Exception:  # logged by SupervisedTasks; the daemon must end
            self.broken = True
            signal.raise_signal(signal.SIGTERM)

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain the requests in progress, then close all sockets."""
        LOGGER.info('draining')
        self.leaving = True
        await self.daemon.drain()
        if self.daemon.last_connections_seconds:
            await self._end_connections()
        else:
            await self._end_listening()
        await self._close()
        LOGGER.info('stopped')

    async def _end_connections(self) -> None:
        """Close idle connections first and the listening sockets later.

        A request can be lost if its connection closes while the request is
        on the way. Its sender then queries the outcome on a new connection.
        """
        await asyncio.sleep(self.daemon.last_connections_seconds)
        await self.daemon.drain()
        await asyncio.gather(*map(end_connections, self.runners))
        await asyncio.sleep(OUTCOME_QUERY_SECONDS)
        await self._end_listening()
        await self.daemon.drain()

    async def _end_listening(self) -> None:
        """Accept no more connections; answer requests on those accepted."""
        await asyncio.gather(*map(stop_listening, self.runners))
        await asyncio.sleep(LAST_REQUEST_SECONDS)

    def _apply(self, settings: Settings) -> tuple[str, ...]:
        """Apply the fleet settings; return the names that need a restart."""
        changed = list_changes(self.settings, settings)
        fleet = settings.fleet
        if fleet is None:
            return changed
        self.daemon.apply_fleet_settings(fleet)
        return tuple(name for name in changed if name != 'fleet')

    async def _close(self) -> None:
        if self.settings.fleet is None:
            await self._close_runners()
        else:
            # The grace time is over: requests still in progress are cut off.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FORCED_CLOSE_SECONDS):
                    # A port whose requests go on must not keep the idle
                    # connections of another open until the process ends.
                    await asyncio.gather(
                        *(runner.cleanup() for runner in self.runners)
                    )
        await self.tasks.stop()
        await self.daemon.stop()
        await self.sessions.close()

    async def _close_runners(self) -> None:
        for runner in self.runners:
            await finish_bodies(runner)
            await runner.cleanup()

    async def _open_daemon(self) -> Daemon:
        built = build_daemon(settings=self.settings, sessions=self.sessions)
        self.ingress = build_ingress(
            self.settings.limits, built.read_client_limits
        )
        for port in built.ports:
            await self._open(port.key, port.address, port.routes)
        await self._open_watch(built.daemon)
        return built.daemon

    async def _open_watch(self, daemon: Daemon) -> None:
        """Open the watch port, after all other ports are open."""
        health = build_health_routes(
            find_unready_reason=lambda: (
                daemon.find_unready_reason()
                or self.ingress.find_unready_reason()
            )
        )
        watch = [*health, build_metrics_route()]
        await self._open('watch', self.settings.listen.watch, watch)

    async def _open(
        self, key: str, address: str, routes: list[web.RouteDef]
    ) -> None:
        try:
            runner = await open_site(
                address=address,
                routes=routes,
                is_leaving=lambda: self.leaving,
                # The platform's checks are answered whatever clients do.
                ingress=None if key == 'watch' else self.ingress,
                is_limited=key == 'callers',
            )
        except OSError as error:
            self._findings.append(
                Finding(
                    place=f'listen.{key}',
                    value=address,
                    allowed='an address of this host on which nothing listens',
                    message=f'cannot listen here: {describe_cause(error)}',
                )
            )
        else:
            self.runners.append(runner)
