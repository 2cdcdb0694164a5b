"""Tests of the operators' routes."""

import contextlib
import hashlib
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import msgspec
import pytest
from aiohttp import test_utils, web
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fakes.faults import Fault
from fakes.memory_control import ControlEntry, ControlFleet
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.deployment import ModelDeployment
from ragwortcourse.configuration.failure_domain import FailureDomain
from ragwortcourse.entry.operator_state import OperatorContext
from ragwortcourse.entry.operators import build_operator_routes
from ragwortcourse.entry.status_poller import StatusPoller
from ragwortcourse.identifiers import DaemonId, RequestId
from ragwortcourse.messages.decision import RequestRecord
from ragwortcourse.messages.operator import (
    AvailabilityChange,
    ConfigurationChange,
    CrasherList,
    OperatorErrorBody,
    RolloutCancellation,
)
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.messages.withdrawal import WithdrawalScope
from ragwortcourse.settings import EntrySettings

TOKEN = 'a token'
AUTHORIZED = {'authorization': f'Bearer {TOKEN}'}
VALID_CONFIGURATION = Configuration(
    failure_domains=(
        FailureDomain(name='milano-a', region='lombardia'),
        FailureDomain(name='padova-a', region='veneto'),
    )
)
WITHDRAWAL = AvailabilityChange(
    scope=WithdrawalScope.FAILURE_DOMAIN, name='milano-a', change='c-out'
)


class Console:
    """Client of one daemon's operator routes."""

    def __init__(self, session, base: str, fleet: ControlFleet) -> None:
        self._session = session
        self.base = base
        self.fleet = fleet
        self.daemon = fleet.entries['e-0']

    async def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Send a request; return the status and the decoded JSON body."""
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        async with self._session.request(
            method,
            f'{self.base}/operator{path}',
            data=content,
            headers=AUTHORIZED if headers is None else headers,
        ) as answer:
            raw = await answer.read()
            return answer.status, msgspec.json.decode(raw) if raw else None

    async def apply(self, base: int, change: str) -> tuple[int, Any]:
        """Send the valid configuration as a change."""
        body = ConfigurationChange(
            base_generation=base,
            configuration=VALID_CONFIGURATION,
            change=change,
        )
        return await self.ask('POST', '/configuration', body)


def build_operators(daemon: ControlEntry) -> OperatorContext:
    """Build the state of the routes from fakes."""
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    settings = msgspec.structs.replace(
        daemon.membership.settings,
        entry=EntrySettings(operator_key_sha256=(digest,)),
    )
    own = RequestRecord(request=RequestId('e-0-01'), decisions=())

    async def relay(address, request):
        if address == 'e-1:1':
            return RequestRecord(request=request, decisions=())
        return PeerUnavailable(detail=address)

    return OperatorContext(
        settings=settings,
        holder=daemon.holder,
        store=daemon.store,
        membership=daemon.membership,
        status_poller=StatusPoller(membership=daemon.membership),
        find_record={own.request: own}.get,
        relay_record=relay,
        list_crashers=lambda: CrasherList(crashers=()),
        release_crasher={'known': True}.get,
    )


@contextlib.asynccontextmanager
async def open_console(
    fleet: ControlFleet | None = None,
) -> AsyncIterator[Console]:
    """Serve the routes of one daemon whose background tasks are cancelled.

    :param fleet: fleet with agents that the daemon knows but does not watch.
    """
    fleet = fleet or ControlFleet()
    for name in ('e-1', 'e-2'):
        fleet.list_entry(name, 'padova-a')
    daemon = fleet.start_entry('e-0', 'milano-a', *fleet.network.records)
    for task in daemon.tasks:
        task.cancel()
    app = web.Application()
    app.add_routes(build_operator_routes(operators=build_operators(daemon)))
    server = test_utils.TestServer(app)
    await server.start_server()
    async with aiohttp.ClientSession() as session:
        base = str(server.make_url('')).rstrip('/')
        yield Console(session, base, fleet)
    await server.close()


@pytest.fixture
async def console() -> AsyncIterator[Console]:
    """Open a console for one test."""
    async with open_console() as opened:
        yield opened


class TestChanges:
    """Changes sent by operators."""

    async def test_conflict_shows_the_newer(self, console: Console):
        """A change on an old base gets a 409 with the newer document."""
        assert await console.apply(0, 'c-1') == (
            200,
            {'generation': 1, 'change': 'c-1', 'pending': False},
        )
        status, body = await console.apply(0, 'c-2')
        assert status == 409
        assert (body['generation'], body['document']['change']) == (1, 'c-1')

    async def test_applying_a_file_returns_nothing(self, console: Console):
        """A configuration file does not end a withdrawal; a return does."""
        await console.apply(0, 'c-1')
        await console.ask('POST', '/withdrawals', WITHDRAWAL)
        assert (await console.apply(2, 'c-2'))[0] == 200
        assert console.daemon.holder.is_withdrawn('t', 'milano-a')
        back = msgspec.structs.replace(WITHDRAWAL, change='c-back')
        assert (await console.ask('POST', '/returns', back))[0] == 200
        assert not console.daemon.holder.is_withdrawn('t', 'milano-a')

    async def test_cancelled_version_is_given_up_everywhere(
        self, console: Console
    ):
        """Cancelling a rollout marks its deployment in the configuration."""
        model = ModelDeployment(
            name='drafts',
            model='drafts',
            version='v2',
            manifest_sha256='0' * 64,
            failure_domains=('milano-a',),
        )
        valid = msgspec.structs.replace(VALID_CONFIGURATION, models=(model,))
        body = ConfigurationChange(
            base_generation=0, configuration=valid, change='c-1'
        )
        assert (await console.ask('POST', '/configuration', body))[0] == 200
        cancel = RolloutCancellation(deployment='drafts', change='c-2')
        assert (await console.ask('POST', '/weights/cancel', cancel))[0] == 200
        _, document = await console.ask('GET', '/configuration')
        assert document['configuration']['models'][0]['cancelled'] is True

    async def test_outage(self, console: Console):
        """Without the table, withdrawals are pending; the rest does not run."""
        await console.apply(0, 'c-1')
        console.fleet.network.set_platform(Fault.DOWN)
        status, body = await console.ask('POST', '/withdrawals', WITHDRAWAL)
        assert (status, body['pending']) == (200, True)
        back = msgspec.structs.replace(WITHDRAWAL, change='c-back')
        for answer in (
            await console.apply(1, 'c-2'),
            await console.ask('POST', '/returns', back),
        ):
            assert answer[0] == 503
            assert answer[1]['error']['outcome'] == OutcomeKind.NOT_RUN

    @pytest.mark.parametrize(
        ('path', 'body', 'place'),
        [
            ('/withdrawals', {'name': 'x', 'change': 'c'}, 'scope'),
            (
                '/withdrawals',
                {'scope': 'failure_domain', 'name': 'nowhere', 'change': 'c'},
                'name',
            ),
            (
                '/returns',
                {'scope': 'host', 'name': 'x', 'change': 'c'},
                'scope',
            ),
            ('/returns', b'{', '(body)'),
            (
                '/configuration',
                {'base_generation': 1, 'change': '?', 'configuration': {}},
                'change',
            ),
            (
                '/configuration',
                {
                    'base_generation': 1,
                    'change': 'c',
                    'configuration': {'models': [{'name': 'm'}]},
                },
                'configuration.models[0].model',
            ),
        ],
    )
    async def test_findings(self, console, path, body, place):
        """Invalid input is refused with the place of each finding."""
        await console.apply(0, 'c-1')
        status, answer = await console.ask('POST', path, body)
        assert status == 400
        assert answer['findings'][0]['place'] == place


class TestReads:
    """Routes that operators read."""

    @pytest.mark.parametrize(
        ('method', 'path', 'status'),
        [
            ('GET', '/configuration', 503),
            ('GET', '/status', 200),
            ('GET', '/replicas/none', 404),
            ('GET', '/requests/e-0-01', 200),
            ('GET', '/requests/e-0-02', 404),
            ('GET', '/requests/e-1-02', 200),
            ('GET', '/requests/e-2-02', 503),
            ('GET', '/requests/nobody-02', 404),
            ('GET', '/crashers', 200),
            ('DELETE', '/crashers/known', 204),
            ('DELETE', '/crashers/other', 404),
        ],
    )
    async def test_status(self, console, method, path, status):
        """The status tells missing objects from daemons out of reach."""
        assert (await console.ask(method, path))[0] == status

    @pytest.mark.parametrize(
        'authorization', ['', 'Bearer', 'Bearer x', f'Basic {TOKEN}']
    )
    async def test_token(self, console: Console, authorization: str):
        """Without a valid token, requests get a 401 and change nothing."""
        headers = {'authorization': authorization}
        for method, path in (('GET', '/status'), ('POST', '/withdrawals')):
            status, body = await console.ask(method, path, WITHDRAWAL, headers)
            assert status == 401
            assert msgspec.convert(body, OperatorErrorBody)
        assert not console.daemon.holder.withdrawals


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([
                'scope', 'name', 'change', 'configuration', 'models', 'limits',
                'base_generation', 'failure_domains', 'weight', 'key_sha256',
            ])
            | st.text(max_size=5),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)  # fmt: skip


class TestHostileInput:
    """Malformed and oversized request bodies."""

    @settings(
        derandomize=True,
        max_examples=60,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        body=st.binary(max_size=80) | JSON.map(msgspec.json.encode),
        path=st.sampled_from(['/withdrawals', '/returns', '/configuration']),
    )
    async def test_any_body(self, body: bytes, path: str):
        """Any random body gets a 400 with findings and changes nothing."""
        async with open_console() as console:
            status, answer = await console.ask('POST', path, body)
            assert status == 400
            assert msgspec.convert(answer, OperatorErrorBody).findings
            assert not console.fleet.network.rows.rows
            assert console.daemon.membership.settings.daemon == DaemonId('e-0')

    @pytest.mark.parametrize(
        'body', [b'[' * 200_000, b'{"a":' * 100_000, b' ' * 2_000_000]
    )
    async def test_too_much(self, console: Console, body: bytes):
        """A body that is too deeply nested or too large gets a JSON 4xx."""
        status, answer = await console.ask('POST', '/configuration', body)
        assert status in {400, 413}
        assert msgspec.convert(answer, OperatorErrorBody)
