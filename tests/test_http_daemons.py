"""Tests of the routes and adapters by which daemons reach each other."""

import aiohttp
from aiohttp import test_utils, web

from fakes.memory_control import ControlFleet
from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.routes import build_configuration_routes
from ragwortcourse.configuration.snapshot import build_snapshot
from ragwortcourse.entry.crasher_peers import (
    build_crasher_routes,
    build_http_crasher_client,
)
from ragwortcourse.entry.crashers import CrasherRegistry
from ragwortcourse.membership.http_daemons import build_http_daemons
from ragwortcourse.membership.membership import build_heartbeat
from ragwortcourse.membership.routes import build_exchange_routes
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.messages.shared_crasher import SharedCrasher
from ragwortcourse.messages.withdrawal import Withdrawal


class TestHttpDaemons:
    """HTTP client of daemons against the routes that daemons serve."""

    async def test_fetch_and_exchange(self):
        """Documents are fetched complete; a missing or lost one is reported.

        An exchange returns the withdrawals of the other daemon.
        """
        fleet = ControlFleet()
        entry = fleet.start_entry('e-0', 'milano-a')
        document = ConfigurationDocument(
            generation=3, configuration=Configuration(), change='c'
        )
        entry.holder.update_if_newer(document)
        entry.holder.withdraw(
            Withdrawal(change='w', scope='target', name='t', generation=3)
        )
        app = web.Application()
        app.add_routes(
            [
                *build_configuration_routes(holder=entry.holder),
                *build_exchange_routes(membership=entry.membership),
            ]
        )
        async with (
            test_utils.TestServer(app) as server,
            aiohttp.ClientSession() as session,
        ):
            port = build_http_daemons(session=session)
            address = f'{server.host}:{server.port}'
            heartbeat = build_heartbeat(entry.membership)
            snapshot = build_snapshot(document)
            assert await port.fetch_index(address, 2) == snapshot.index
            assert isinstance(
                await port.fetch_index(address, 4), PeerUnavailable
            )
            for digest, content in snapshot.contents.items():
                assert await port.fetch_part(address, digest) == content
            missing = await port.fetch_part(address, snapshot.sha256)
            assert isinstance(missing, PeerUnavailable)
            answer = await port.exchange(address, heartbeat)
            assert answer.withdrawals[0].change == 'w'
            await server.close()
            lost = await port.exchange(address, heartbeat)
            assert isinstance(lost, PeerUnavailable)
        await fleet.stop()

    async def test_crasher_is_told(self):
        """Reports of crashing requests arrive; a lost daemon gives no error."""
        crashers = CrasherRegistry()
        told = SharedCrasher(
            fingerprint='f', account='studio', targets=('one', 'two')
        )
        app = web.Application()
        app.add_routes(build_crasher_routes(crashers=crashers))
        async with (
            test_utils.TestServer(app) as server,
            aiohttp.ClientSession() as session,
        ):
            tell = build_http_crasher_client(session=session)
            address = f'{server.host}:{server.port}'
            await tell(address, told)
            assert crashers.is_refused('f')
            url = f'http://{address}/crashers'
            async with session.post(url, data=b'no JSON') as answer:
                assert answer.status == 400
            await server.close()
            await tell(address, told)
