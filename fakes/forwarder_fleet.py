"""Forwarders in one process that share scripted targets."""

import asyncio
import contextlib
import dataclasses
import itertools
import types
from collections.abc import Mapping, Sequence
from typing import Final

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from fakes.fleet_parts import (
    CHARGE,
    KEY,
    LOOKUP,
    make_desired,
    make_forwarder,
    make_plain,
    make_route,
    make_state,
    make_target,
)
from fakes.fleet_target import FleetTarget, Received, Script, ScriptedConnection
from fakes.ports import pick_address
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.calls import build_call_routes
from ragwortcourse.forwarding.exchange import open_target_session
from ragwortcourse.forwarding.fleet_state import FleetState, read_boot_clock
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_exchange import (
    exchange_loads,
)
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import TargetName
from ragwortcourse.membership.relay_daemons import (
    RelayRecord,
    describe_daemon,
)
from ragwortcourse.settings import ListenSettings

CRASHER: Final = b'crasher'
# Time after which daemons see that a target has ended, and that it is back.
SEEN_SECONDS: Final = 0.1
DOWN_SECONDS: Final = 0.3
CONFIRM_SECONDS: Final = 0.5
LOOK: Final = '/lookups/1'
LETTER: Final = '/letters/1'
CHANGE: Final = '/charges/1'
# A busy machine may stop the event loop for longer than a try of ``LOOKUP``.
PATIENT_LOOKUP: Final = dataclasses.replace(LOOKUP, time_limit=6.0)
PATIENT_CHARGE: Final = dataclasses.replace(CHARGE, time_limit=6.0)
NO_HEADERS: Final[Mapping[str, str]] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request at one target, in seconds of the event loop.

    :ivar headers: values by lower-case name.
    """

    target: TargetName
    body: bytes
    headers: Mapping[str, str]
    at: float


class ForwarderFleet:
    """Some forwarders that share targets and exchange messages over loopback.

    A target ends under each request whose body begins with ``CRASHER``.

    :param answer: script of a target that is not down.
    :param ends_midway: true if a target ends only after that script.
    :param seen_seconds: time from the end of a target until its row is gone.
    :param refuses: true if a target that has ended refuses connections, false
        if it resets them.
    """

    def __init__(
        self,
        *,
        answer: Script,
        ends_midway: bool = False,
        seen_seconds: float = SEEN_SECONDS,
        refuses: bool = False,
    ) -> None:
        self.arrivals: list[Arrival] = []
        self.ended: list[float] = []
        self.forwarders: list[Forwarder] = []
        self.exit_stack = contextlib.AsyncExitStack()
        self._answer = answer
        self.down: set[TargetName] = set()
        self._ends_midway = ends_midway
        self._seen_seconds = seen_seconds
        self._refuses = refuses
        self._targets: dict[TargetName, FleetTarget] = {}
        self._clients: list[TestClient[web.Request, web.Application]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._attempts = itertools.count()
        self._listed: dict[TargetName, Target] = {}

    async def open(
        self, *, targets: int, forwarders: int, plain: bool = True
    ) -> None:
        """Start the targets, then the forwarders.

        :param plain: true for targets of the plain service, false for engines.
        """
        make = make_plain if plain else make_target
        for number in range(targets):
            name = TargetName(f't-{number}')
            target = FleetTarget(self._build_script(name))
            await target.start()
            self._targets[name] = target
            self.exit_stack.push_async_callback(target.stop)
            self._listed[name] = make(name, address=target.address)
        self.exit_stack.push_async_callback(self._stop_tasks)
        self._tasks.append(asyncio.ensure_future(self._confirm_states()))
        for number in range(forwarders):
            await self.start_forwarder(f'entry-{number}')

    async def start_forwarder(self, name: str) -> Forwarder:
        """Start one more forwarder that knows nothing of before."""
        session = await self.exit_stack.enter_async_context(
            open_target_session()
        )
        state = make_state(*self._listed.values())
        state.desired = make_desired(
            make_route(), PATIENT_LOOKUP, PATIENT_CHARGE
        )
        forwarder = make_forwarder(
            state,
            session,
            daemon=name,
            listen=ListenSettings(
                peers=pick_address(),
                watch='127.0.0.1:1',
                callers='127.0.0.1:1',
            ),
        )
        app = web.Application()
        app.add_routes(build_call_routes(forwarder))
        server = TestServer(app, handler_cancellation=True)
        client = await self.exit_stack.enter_async_context(TestClient(server))
        self.forwarders.append(forwarder)
        self._clients.append(client)
        self._tasks.append(
            asyncio.ensure_future(
                exchange_loads(
                    forwarder=forwarder, list_relays=self._list_relays
                )
            )
        )
        return forwarder

    @property
    def ports(self) -> list[int | None]:
        """Return the callers' port of each forwarder."""
        return [client.port for client in self._clients]

    async def ask(
        self,
        daemon: int,
        body: bytes,
        path: str = LOOK,
        headers: Mapping[str, str] = NO_HEADERS,
        method: str = 'POST',
    ) -> aiohttp.ClientResponse:
        """Send a request to one forwarder and read its whole answer.

        :param headers: further headers.
        """
        response = await self._clients[daemon].request(
            method,
            path,
            data=body,
            headers={
                'Host': 'desk.example',
                'Authorization': f'Bearer {KEY}',
                'Ragwortcourse-Attempt-Id': f'a{next(self._attempts)}',
                'Ragwortcourse-Deadline-Ms': '6000',
                **headers,
            },
        )
        await response.read()
        return response

    async def send_steadily(
        self, body: bytes, *, every: float, seconds: float
    ) -> dict[float, int]:
        """Send a request again and again, to each forwarder in turn.

        :return: the statuses of the answers by the time of sending.
        """
        statuses: dict[float, int] = {}
        ends_at = read_clock() + seconds
        for number in itertools.count():
            if read_clock() >= ends_at:
                return statuses
            daemon = number % len(self._clients)
            sent_at = read_clock()
            response = await self.ask(daemon, body)
            statuses[sent_at] = response.status
            await asyncio.sleep(every)
        return statuses

    def count_arrivals(self, body: bytes, *, after: float = 0) -> int:
        """Count the arrivals of a request at targets later than a time."""
        return sum(
            arrival.body == body and arrival.at > after
            for arrival in self.arrivals
        )

    def count_busiest(
        self, target: str, *, seconds: float, after: float
    ) -> int:
        """Count the arrivals at a target in its busiest span of time.

        :param seconds: length of the span.
        :param after: earliest begin of the span.
        """
        times = [
            arrival.at
            for arrival in self.arrivals
            if arrival.target == target and arrival.at > after
        ]
        return max(
            (
                sum(0 <= time - begin < seconds for time in times)
                for begin in times
            ),
            default=0,
        )

    async def end_target(self, name: TargetName) -> None:
        """End a target; its row goes and comes back as a new incarnation."""
        if name in self.down:
            return
        self.down.add(name)
        self.ended.append(read_clock())
        if self._refuses:
            await self._targets[name].stop()
        self._tasks.append(asyncio.ensure_future(self._replace(name)))

    def _build_script(self, name: TargetName) -> Script:
        async def serve(
            received: Received, connection: ScriptedConnection
        ) -> None:
            arrival = Arrival(
                target=name,
                body=received.body,
                headers=received.headers,
                at=read_clock(),
            )
            self.arrivals.append(arrival)
            crashes = received.body.startswith(CRASHER)
            if crashes and not self._ends_midway:
                await self.end_target(name)
            if name not in self.down:
                await self._answer(received, connection)
            if crashes:
                await self.end_target(name)
            if name in self.down:
                connection.reset()

        return serve

    async def _replace(self, name: TargetName) -> None:
        await asyncio.sleep(self._seen_seconds)
        for state in self._list_states():
            state.targets.pop(name, None)
        await asyncio.sleep(DOWN_SECONDS)
        if self._refuses:
            await self._targets[name].start()
        self.down.discard(name)
        known = self._listed[name]
        born = dataclasses.replace(known, born=known.born + 1)
        self._listed[name] = born
        for state in self._list_states():
            state.targets[name] = born

    async def _confirm_states(self) -> None:
        """Confirm the desired state at all forwarders, as a store does."""
        while True:
            for state in self._list_states():
                state.confirmed_at = read_boot_clock()
            await asyncio.sleep(CONFIRM_SECONDS)

    def _list_states(self) -> list[FleetState]:
        return [forwarder.state for forwarder in self.forwarders]

    async def _list_relays(self) -> Sequence[RelayRecord]:
        return [
            describe_daemon(forwarder.settings) for forwarder in self.forwarders
        ]

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
