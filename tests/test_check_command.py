"""Tests of the command ``check``."""

import asyncio
import json

import pytest
from aiohttp.test_utils import TestServer, unused_port
from click.testing import CliRunner, Result

from fakes.fleet_parts import FORWARDER_TEXT
from fakes.fleet_store import FleetStore
from fakes.operators import FakeOperators
from ragwortcourse.cli.configuration_text import format_toml
from ragwortcourse.cli.program import main
from tests.test_check import VALID
from tests.test_cli_program import CONFIGURATION, run_command
from tests.test_state_check import SOUND, change

OTHER_DOMAIN = '[[failure_domains]]\nname = "x"\nregion = "y"\n'
OTHER_PATTERN = '[[services.non_idempotent]]\nmethod = "POST"'
NEAR = {**SOUND, 'services': SOUND['services'][:2]}


@pytest.fixture(name='write')
def make_writer(tmp_path):
    """Make a function that writes a file and returns its path."""

    def write(name: str, content: object) -> str:
        path = tmp_path / name
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text)
        return str(path)

    return write


def run(*arguments: str) -> Result:
    """Run the command without anything to compare with."""
    return CliRunner().invoke(main, ['check', *arguments])


async def run_beside_store(write, held: object, *arguments: str) -> Result:
    """Run the command beside a store that holds a state; none: no row."""
    store = FleetStore()
    store.put('op', 'version/m', {'model': 'm', 'version': 1})
    if held is not None:
        store.put('op', 'config', held)
    async with TestServer(store.build_app()) as server:
        settings = write_settings(write, server.port)
        return await asyncio.to_thread(
            run, f'--settings={settings}', '--in-force', *arguments
        )


def write_settings(write, port: int | None) -> str:
    """Write the settings of a forwarder beside a store."""
    ports = {'peers': '127.0.0.1:1', 'watch': '127.0.0.1:2'}
    text = FORWARDER_TEXT.format(
        **ports, callers='127.0.0.1:3', store=f'127.0.0.1:{port}'
    )
    return write('forwarder.toml', text)


class TestConfiguration:
    """Configurations in TOML."""

    @pytest.mark.parametrize(
        ('old', 'new', 'place'),
        [
            ('"milano-a"\nr', '"milano-a"\nr', None),
            (f'key_sha256 = ["{"ab" * 32}"]', '', 'client_accounts[0].key'),
            ('batch = 2', 'batch = 4', 'models[0].batch'),
            ('queue = 0', 'queue = 0, warm_seconds = -1', 'models[0].limits.w'),
            (
                'path_prefix = "/charge"',
                f'path_prefix = "/charge"\n{OTHER_PATTERN}',
                'services[0].non_idempotent[0].path_prefix',
            ),
            (
                '[[client_accounts]]',
                f'{OTHER_DOMAIN}[[client_accounts]]',
                None,
            ),
        ],
    )
    def test_part_without_effect_is_not_found(self, write, old, new, place):
        """A part that has no effect, or contradicts another, was sound."""
        result = run(write('c.toml', VALID.replace(old, new, 1)))
        assert result.exit_code == (0 if place is None else 1)
        assert (place or 'sound') in result.output

    @pytest.mark.parametrize('content', ['[[', None])
    def test_unreadable(self, write, tmp_path, content):
        """A file that can't be read is no finding in it: exit code 2."""
        path = str(tmp_path / 'none.toml')
        if content is not None:
            path = write('c.toml', content)
        assert run(path).exit_code == 2

    async def test_in_force(self, write):
        """Differences from the configuration in force are no findings."""
        text = format_toml(CONFIGURATION)
        file = write('c.toml', text.replace('padova-a', 'padova-b'))
        result = await run_command(
            FakeOperators(), 'check', file, '--in-force', '--json'
        )
        report = json.loads(result.stdout)
        assert report['in_force'] == 0
        assert any('padova-b' in line for line in report['differences'])

    def test_nobody_reached(self, write):
        """Nothing to compare with: exit code 3."""
        entry = f'--entry=127.0.0.1:{unused_port()}'
        result = run(write('c.toml', VALID), '--in-force', entry)
        assert result.exit_code == 3


class TestState:
    """Desired states."""

    def test_sound(self, write):
        """A sound state exits with 0, for people and for programs."""
        file = write('s.json', SOUND)
        assert run(file).exit_code == 0
        report = json.loads(run(file, '--json').stdout)
        assert (report['sound'], report['findings']) == (True, [])

    def test_findings(self, write):
        """A finding has its place and value, and the exit code is 1."""
        file = write('s.json', change('routes', {'slo_ms': 7000}))
        result = run(file)
        assert result.exit_code == 1
        assert 'routes[0].slo_ms = 7000' in result.output
        (finding,) = json.loads(run(file, '--json').stdout)['findings']
        assert finding['place'] == 'routes[0].slo_ms'

    @pytest.mark.parametrize('content', ['{', '[]', None])
    def test_unreadable(self, write, tmp_path, content):
        """A file that is no state can't be judged: exit code 2."""
        path = str(tmp_path / 'none.json')
        if content is not None:
            path = write('s.json', content)
        assert run(path).exit_code == 2

    def test_no_store_named(self, write):
        """A comparison without a store is wrong usage: exit code 2."""
        assert run(write('s.json', SOUND), '--in-force').exit_code == 2

    def test_unknown_region(self, write):
        """Regions are checked against the settings, if these are given."""
        file = write('s.json', change('routes', {'allowed_regions': ['x']}))
        assert run(file).exit_code == 0
        settings = write_settings(write, 1)
        assert run(file, f'--settings={settings}').exit_code == 1


class TestStateInForce:
    """Desired states beside that in the platform's store."""

    async def test_differences(self, write):
        """A newer state is compared with that in force, at exit code 0."""
        held = {**NEAR, 'version': 6, 'limits': {}}
        file = write('s.json', NEAR)
        result = await run_beside_store(write, held, file, '--json')
        assert result.exit_code == 0, result.output
        report = json.loads(result.stdout)
        assert report['in_force'] == 6
        assert 'version: 6 -> 7' in report['differences']

    @pytest.mark.parametrize('version', [7, 8])
    async def test_older_version_is_sound(self, write, version):
        """A state was sound that no daemon takes, as a newer one is there."""
        held = {**NEAR, 'version': version, 'limits': {}}
        result = await run_beside_store(write, held, write('s.json', NEAR))
        assert result.exit_code == 1
        assert 'version = 7' in result.output

    async def test_same(self, write):
        """The state in force itself is sound."""
        result = await run_beside_store(write, NEAR, write('s.json', NEAR))
        assert (result.exit_code, result.stdout.count('\n')) == (0, 1)

    async def test_first_state(self, write):
        """Where no state is in force, nothing differs."""
        result = await run_beside_store(write, None, write('s.json', NEAR))
        assert result.exit_code == 0

    def test_store_unreachable(self, write):
        """Nothing to compare with: exit code 3."""
        settings = write_settings(write, unused_port())
        file = write('s.json', NEAR)
        result = run(file, '--in-force', f'--settings={settings}')
        assert result.exit_code == 3
