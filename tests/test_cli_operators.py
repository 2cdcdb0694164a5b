"""Tests of the commands against the operators' routes of an entry daemon.

The daemon runs in the test process with simulated agents and platform services.
Commands reach the daemon over HTTP.
"""

import asyncio
import contextlib
import pathlib
from typing import Any

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer, unused_port
from click.testing import CliRunner, Result

from fakes.faults import Fault
from fakes.memory_control import ControlFleet
from fakes.origin import OriginStore, build_origin_routes
from ragwortcourse.cli import change, departure
from ragwortcourse.cli.configuration_text import format_toml
from ragwortcourse.cli.program import main
from ragwortcourse.configuration.deployment import ModelDeployment
from ragwortcourse.entry.status_poller import make_record
from ragwortcourse.messages.operator import ConfigurationChange
from ragwortcourse.messages.target_status import (
    ServedVersion,
    WeightTransferProgress,
)
from tests.test_operators import (
    TOKEN,
    VALID_CONFIGURATION,
    Console,
    open_console,
)

DRAFTS = ModelDeployment(
    name='drafts',
    model='draft-model',
    version='v1',
    manifest_sha256='0' * 64,
    failure_domains=('milano-a',),
)
TWO_DOMAIN_CONFIGURATION = msgspec.structs.replace(
    VALID_CONFIGURATION,
    models=(
        msgspec.structs.replace(
            DRAFTS, failure_domains=('milano-a', 'padova-a')
        ),
    ),
)
FILE_CONFIGURATION = msgspec.structs.replace(
    VALID_CONFIGURATION, models=(DRAFTS,)
)
DOMAIN_ARGUMENTS = ('failure-domain', 'milano-a')
JSON_KEYS: dict[tuple[str, ...], str] = {
    ('status',): 'generation',
    ('show',): 'configuration',
    ('diff', 'FILE'): 'lines',
    ('apply', 'FILE'): 'generation',
    ('replicas', 'draft-model'): 'deployment',
    ('explain', 'e-0-01'): 'decisions',
    ('cancel', 'drafts'): 'generation',
    ('withdraw', *DOMAIN_ARGUMENTS): 'generation',
    ('withdraw', *DOMAIN_ARGUMENTS, '--wait'): 'seconds',
    ('return', *DOMAIN_ARGUMENTS): 'generation',
    ('crashers', 'list'): 'crashers',
    ('crashers', 'release', 'known'): 'released',
}
UNKNOWN_NAME_CODES = {
    ('replicas', 'nothing'): 'deployment_unknown',
    ('explain', 'e-0-99'): 'no_record',
    ('explain', '../status'): 'no_daemon',
    ('cancel', 'nothing'): 'invalid',
    ('withdraw', 'failure-domain', 'nowhere'): 'invalid',
    ('withdraw', 'target', 'nobody'): 'invalid',
    ('return', 'failure-domain', 'nowhere'): 'invalid',
    ('crashers', 'release', 'other'): 'no_crasher',
}


@pytest.fixture(name='file')
def write_file(tmp_path: pathlib.Path, monkeypatch) -> str:
    """Write a sound configuration file and shorten the waits of commands."""
    monkeypatch.setattr(change, 'RETRY_DELAYS_SECONDS', (0.0, 0.0, 0.0))
    monkeypatch.setattr(departure, 'POLL_PERIOD_SECONDS', 0.01)
    monkeypatch.setattr(departure, 'SETTLING_SECONDS', 0.0)
    path = tmp_path / 'configuration.toml'
    path.write_text(format_toml(FILE_CONFIGURATION))
    return str(path)


class Terminal:
    """Runs commands against one entry daemon."""

    def __init__(self, console: Console, file: str) -> None:
        self.console = console
        self._file = file

    async def run(
        self, *words: str, token: str = TOKEN, entry: str = ''
    ) -> Result:
        """Run one command.

        :param words: command line; ``FILE`` stands for the configuration file.
        """
        options = (f'--token={token}', f'--entry={entry or self.console.base}')
        arguments = [self._file if word == 'FILE' else word for word in words]
        return await asyncio.to_thread(
            CliRunner().invoke, main, [*arguments, *options]
        )

    async def fail(self, *words: str, **options: Any) -> tuple[int, str, str]:
        """Run a command that fails, and return its failure.

        The command runs once as text and once as JSON, and must fail with the
        same exit code, error code and outcome.

        :return: exit code, error code and outcome.
        """
        text_result = await self.run(*words, **options)
        result = await self.run(*words, '--json', **options)
        assert not isinstance(result.exception, Exception), result.exception
        error = msgspec.json.decode(result.stdout)['error']
        assert text_result.exit_code == result.exit_code
        assert text_result.stderr.startswith(f'{error["code"]}: ')
        assert f'outcome: {error["outcome"]}' in text_result.stderr
        return result.exit_code, error['code'], error['outcome']


@pytest.fixture(name='terminal')
async def open_terminal(file: str):
    """Open a terminal before a daemon with a configuration in force."""
    async with open_console() as console:
        terminal = Terminal(console, file)
        assert (await terminal.run('apply', 'FILE')).exit_code == 0
        yield terminal


class TestCommands:
    """Commands that send requests to an entry daemon."""

    @pytest.mark.parametrize('words', list(JSON_KEYS))
    async def test_works(self, terminal: Terminal, words: tuple[str, ...]):
        """Each command exits with 0, with text and with JSON output."""
        text_result = await terminal.run(*words)
        assert text_result.exit_code == 0, text_result.output
        result = await terminal.run(*words, '--json')
        message = msgspec.json.decode(result.stdout)
        assert JSON_KEYS[words] in (
            message[0] if words[0] == 'replicas' else message
        )

    @pytest.mark.parametrize('words', list(JSON_KEYS))
    async def test_daemon_out_of_reach(
        self, terminal: Terminal, words: tuple[str, ...]
    ):
        """Each command exits with 3, outcome not run, if no daemon listens."""
        entry = f'127.0.0.1:{unused_port()}'
        failed = await terminal.fail(*words, entry=entry)
        assert failed == (3, 'unreachable', 'not_run')

    @pytest.mark.parametrize('words', list(JSON_KEYS))
    async def test_refused_token(
        self, terminal: Terminal, words: tuple[str, ...]
    ):
        """A token of no operator is refused with exit code 1."""
        failed = await terminal.fail(*words, token='another')
        assert failed == (1, 'unauthorized', 'not_run')

    @pytest.mark.parametrize(
        ('token', 'exit_code'), [('', 1), ('è', 1), ('a\nb', 2), ('\x7f', 2)]
    )
    async def test_malformed_token(
        self, terminal: Terminal, token: str, exit_code: int
    ):
        """A token that no HTTP header can carry is a usage error (exit 2).

        Other malformed tokens are refused by the daemon (exit 1).
        """
        result = await terminal.run('status', token=token)
        assert result.exit_code == exit_code

    @pytest.mark.parametrize('words', list(UNKNOWN_NAME_CODES))
    async def test_unknown_name(
        self, terminal: Terminal, words: tuple[str, ...]
    ):
        """An unknown name is refused with exit code 1 and outcome not run."""
        failed = await terminal.fail(*words)
        assert failed == (1, UNKNOWN_NAME_CODES[words], 'not_run')

    @pytest.mark.parametrize('entry', ['http://', 'ftp://127.0.0.1', 'a b:1'])
    async def test_address_that_is_none(self, terminal: Terminal, entry: str):
        """An unusable address is reported like an unreachable daemon."""
        failed = await terminal.fail('status', entry=entry)
        assert failed == (3, 'unreachable', 'not_run')


class TestRace:
    """Changes of several operators at once."""

    async def test_one_of_two_files_is_accepted(self, terminal: Terminal):
        """Of two files based on one generation, the second gets a conflict."""
        results = await asyncio.gather(
            *(terminal.run('apply', 'FILE', '--base=1') for _ in range(2))
        )
        assert sorted(each.exit_code for each in results) == [0, 4]
        failed = await terminal.fail('apply', 'FILE', '--base=1')
        assert failed == (4, 'conflict', 'not_run')

    async def test_changes_to_parts_all_count(self, terminal: Terminal):
        """Concurrent withdrawals and a cancellation do not undo each other."""
        others = (
            ('withdraw', 'failure-domain', 'padova-a'),
            ('withdraw', *DOMAIN_ARGUMENTS),
            ('cancel', 'drafts'),
        )
        results = await asyncio.gather(
            *(terminal.run(*words) for words in others)
        )
        assert [each.exit_code for each in results] == [0, 0, 0]
        shown = await terminal.run('show', '--json')
        configuration = msgspec.json.decode(shown.stdout)['configuration']
        assert configuration['models'][0]['cancelled']
        withdrawn = configuration['withdrawn_failure_domains']
        assert sorted(withdrawn) == ['milano-a', 'padova-a']


class TestOutage:
    """Commands while the table service is down."""

    async def test_withdrawal_goes_on_alone(self, terminal: Terminal):
        """Only a withdrawal takes effect; other changes fail and say so."""
        terminal.console.fleet.network.set_platform(Fault.DOWN)
        text_result = await terminal.run('withdraw', *DOMAIN_ARGUMENTS)
        assert text_result.exit_code == 0
        assert 'to be written' in text_result.stdout
        for words in (
            ('return', *DOMAIN_ARGUMENTS),
            ('cancel', 'drafts'),
            ('apply', 'FILE'),
        ):
            failed = await terminal.fail(*words)
            assert failed == (1, 'change_not_made', 'not_run')


class TestPublish:
    """Publishing weights to the origin."""

    async def test_prints_the_digest(self, tmp_path: pathlib.Path):
        """Publishing prints the manifest digest that deployments refer to."""
        result = await self.publish(tmp_path, b'weights')
        report = msgspec.json.decode(result.stdout)
        assert (result.exit_code, report['size']) == (0, 7)
        assert len(report['manifest_sha256']) == 64

    async def test_version_keeps_its_weights(self, tmp_path: pathlib.Path):
        """A version may be published again only with the same weights."""
        store = OriginStore()
        first = await self.publish(tmp_path, b'weights', store=store)
        stored_before = dict(store.objects)
        again = await self.publish(tmp_path, b'weights', store=store)
        other = await self.publish(tmp_path, b'another', store=store)
        digest = msgspec.json.decode(first.stdout)['manifest_sha256']
        error = msgspec.json.decode(other.stdout)['error']
        assert (first.exit_code, again.exit_code, other.exit_code) == (0, 0, 1)
        assert (error['code'], error['outcome']) == ('version_taken', 'not_run')
        assert error['findings'][0]['place'] == '--version'
        assert digest in error['findings'][0]['message']
        assert store.objects == stored_before

    async def test_origin_out_of_reach(self, tmp_path: pathlib.Path):
        """An unreachable origin gives exit code 3 and outcome not run."""
        origin = f'http://127.0.0.1:{unused_port()}'
        result = await self.publish(tmp_path, b'weights', origin)
        error = msgspec.json.decode(result.stdout)['error']
        assert result.exit_code == 3
        assert (error['code'], error['outcome']) == ('unreachable', 'not_run')

    @pytest.mark.parametrize('name', ['a/b', '', 'a b'])
    async def test_malformed_name(self, tmp_path: pathlib.Path, name: str):
        """A version name that is not allowed in configurations is refused."""
        result = await self.publish(tmp_path, b'weights', version=name)
        error = msgspec.json.decode(result.stdout)['error']
        assert (result.exit_code, error['code']) == (1, 'invalid')
        assert error['findings'][0]['place'] == '--version'

    async def publish(
        self,
        tmp_path: pathlib.Path,
        content: bytes,
        origin: str = '',
        version: str = 'v1',
        store: OriginStore | None = None,
    ) -> Result:
        """Run ``publish`` on a file.

        :param origin: base URL; by default that of a server of ``store``.
        :param store: contents of the origin; empty by default.
        """
        path = tmp_path / 'weights.bin'
        path.write_bytes(content)
        app = web.Application()
        app.add_routes(build_origin_routes(store=store or OriginStore()))
        async with TestServer(app) as server:
            origin = origin or str(server.make_url('/origin'))
            return await asyncio.to_thread(
                CliRunner().invoke,
                main,
                [
                    'publish',
                    str(path),
                    '--model=m',
                    f'--version={version}',
                    f'--origin={origin}',
                    '--json',
                ],
            )


def make_fleet(agents: int) -> ControlFleet:
    """Make agents of the deployment drafts in two failure domains.

    The entry daemon watches none of them.
    """
    fleet = ControlFleet()
    for number in range(agents):
        domain = 'padova-a' if number % 2 else 'milano-a'
        fleet.add_agent(f'w-{number}', domain, 'drafts')
    return fleet


def make_transfer(
    held: int, seconds_left: float | None
) -> WeightTransferProgress:
    """Make progress of a transfer, a quarter of it from the origin."""
    return WeightTransferProgress(
        model='draft-model',
        version='v1',
        held=held,
        total=1000,
        from_origin=held // 4,
        from_peers=held - held // 4,
        rate=100,
        seconds_left=seconds_left,
        detail='draws chunks',
    )


READY = (ServedVersion(model='draft-model', version='v1'),)


@contextlib.asynccontextmanager
async def open_fleet(file: str, fleet: ControlFleet):
    """Open a terminal before a daemon that watches no agent of the fleet."""
    async with open_console(fleet) as console:
        terminal = Terminal(console, file)
        body = ConfigurationChange(
            base_generation=0,
            configuration=TWO_DOMAIN_CONFIGURATION,
            change='c-wide',
        )
        assert (await console.ask('POST', '/configuration', body))[0] == 200
        yield terminal


class TestWholeDeployment:
    """Commands cover targets that the entry daemon does not watch.

    An entry daemon watches a part of the targets; figures from these alone
    would describe only a part of the deployment.
    """

    async def test_replicas_counts_every_target(self, file: str):
        """Rate, shares and time left are those of the whole deployment."""
        fleet = make_fleet(100)
        for number, agent in enumerate(fleet.agents.values()):
            agent.landing = make_transfer(400, number / 2)
            if number < 60:
                agent.served, agent.landing = READY, None
        async with open_fleet(file, fleet) as terminal:
            result = await terminal.run('replicas', 'drafts', '--json')
            (shown,) = msgspec.json.decode(result.stdout)
            text_result = await terminal.run('replicas', 'drafts')
        assert (shown['ready'], shown['wanted']) == (60, 100)
        assert (shown['rate'], shown['seconds_left']) == (4000, 49.5)
        assert (shown['from_origin'], shown['from_peers']) == (4000, 12_000)
        assert '25% from the origin, last byte in 50 s' in text_result.stdout
        assert len(text_result.stdout.splitlines()) == 102

    async def test_end_is_not_known_while_one_stands_still(self, file: str):
        """The time left is unknown while one target has no estimate."""
        fleet = make_fleet(2)
        first, second = fleet.agents.values()
        first.landing = make_transfer(10, 5)
        second.landing = make_transfer(10, None)
        async with open_fleet(file, fleet) as terminal:
            text_result = await terminal.run('replicas', 'drafts')
        assert 'last byte in -' in text_result.stdout

    async def test_silent_target_is_shown(self, file: str):
        """An unreachable target is listed as silent; the command succeeds."""
        fleet = make_fleet(40)
        fleet.network.daemons.pop('w-7:1')
        async with open_fleet(file, fleet) as terminal:
            text_result = await terminal.run('replicas', 'drafts')
        assert text_result.exit_code == 0
        (row,) = (
            line for line in text_result.stdout.splitlines() if 'w-7 ' in line
        )
        assert 'silent' in row

    async def test_no_agent_is_asked_but_for_an_operator(self, file: str):
        """Agents are asked only for a command, and not again at once.

        ``status`` asks no agent; repeated ``replicas`` commands reuse the
        statuses of the first one.
        """
        async with open_fleet(file, make_fleet(50)) as terminal:
            network = terminal.console.fleet.network
            before = network.messages
            await terminal.run('status')
            at_rest = network.messages
            await terminal.run('replicas', 'drafts')
            asked = network.messages
            for _ in range(3):
                await terminal.run('replicas', 'drafts')
        assert at_rest == before
        assert network.messages == asked > before

    async def test_watched_target_with_an_old_status_is_asked(self, file: str):
        """A watched target with an old status is asked for a new one."""
        fleet = make_fleet(1)
        async with open_fleet(file, fleet) as terminal:
            directory = terminal.console.daemon.membership.directory
            (agent,) = terminal.console.daemon.membership.roster.agents
            directory.put(make_record(agent))
            fleet.agents['w-0'].served = READY
            result = await terminal.run('replicas', 'drafts', '--json')
        (shown,) = msgspec.json.decode(result.stdout)
        assert shown['ready'] == 1

    async def test_withdrawal_waits_for_every_target(self, file: str):
        """``withdraw --wait`` also waits for work on unwatched targets."""
        fleet = make_fleet(20)
        fleet.agents['w-18'].running = 3
        async with open_fleet(file, fleet) as terminal:
            waiting = asyncio.create_task(
                terminal.run(
                    'withdraw', *DOMAIN_ARGUMENTS, '--wait', '--timeout=5'
                )
            )
            await asyncio.sleep(0.5)
            assert not waiting.done()
            fleet.agents['w-18'].running = 0
            text_result = await waiting
        assert '3 under way' in text_result.stdout
        assert text_result.exit_code == 0

    async def test_withdrawal_names_targets_not_heard_from(self, file: str):
        """``withdraw --wait`` lists unreachable targets as not heard from."""
        fleet = make_fleet(4)
        fleet.network.daemons.pop('w-2:1')
        async with open_fleet(file, fleet) as terminal:
            text_result = await terminal.run(
                'withdraw', *DOMAIN_ARGUMENTS, '--wait'
            )
        assert 'not heard from: w-2' in text_result.stdout
