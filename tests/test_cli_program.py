"""Tests of :mod:`ragwortcourse.cli.program` against a stand-in."""

import asyncio

import msgspec
import pytest
from aiohttp.test_utils import TestServer, unused_port
from click.testing import CliRunner, Result

from fakes.operators import FakeOperators
from ragwortcourse.cli import change
from ragwortcourse.cli.configuration_text import format_toml
from ragwortcourse.cli.program import main
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.failure_domain import FailureDomain
from ragwortcourse.configuration.toml_parsing import parse_configuration
from ragwortcourse.identifiers import (
    ChangeId,
    DeploymentName,
    FailureDomainName,
    Generation,
    RegionName,
    TargetName,
)
from ragwortcourse.messages.operator import TargetSummary
from ragwortcourse.messages.target_status import TargetStatus

CONFIGURATION = Configuration(
    failure_domains=(
        FailureDomain(
            name=FailureDomainName('padova-a'), region=RegionName('veneto')
        ),
    ),
)


def make_target(running: int) -> TargetSummary:
    """A target of padova-a with so much work."""
    status = TargetStatus(
        target=TargetName('llm-1'),
        deployment=DeploymentName('llm'),
        failure_domain=FailureDomainName('padova-a'),
        limit=8,
        running=running,
        queued=0,
        leaving=True,
        served=(),
        generation=Generation(1),
    )
    return TargetSummary(
        target=status.target,
        deployment=status.deployment,
        failure_domain=status.failure_domain,
        region=RegionName('veneto'),
        address='127.0.0.1:1',
        status=status,
        withdrawn=True,
    )


@pytest.fixture(name='fake')
def make_fake(monkeypatch: pytest.MonkeyPatch) -> FakeOperators:
    """A stand-in at generation 0; pauses are cut short."""
    monkeypatch.setattr(change, 'PAUSES_SECONDS', (0.0, 0.0, 0.0))
    return FakeOperators()


@pytest.fixture(name='file')
def write_file(tmp_path) -> str:
    """A sound configuration file."""
    path = tmp_path / 'configuration.toml'
    path.write_text(format_toml(CONFIGURATION))
    return str(path)


async def run_command(fake: FakeOperators, *arguments: str) -> Result:
    """Run one command; its first entry daemon is silent."""
    async with TestServer(fake.build_app()) as server:
        entries = [
            f'--entry=127.0.0.1:{unused_port()}',
            f'--entry=127.0.0.1:{server.port}',
        ]
        return await asyncio.to_thread(
            CliRunner().invoke, main, [*arguments, *entries]
        )


class TestApply:
    """Putting a configuration in force."""

    @pytest.mark.parametrize(
        ('faults', 'exit_code', 'generation'),
        [
            ([], 0, 1),
            (['lose'], 0, 1),
            (['drop'], 0, 1),
            (['drop', 'lose'], 0, 1),
            (['drop', 'drop', 'drop', 'drop'], 5, 0),
            (['refuse'], 1, 0),
        ],
    )
    async def test_outcome_is_settled_by_the_change_id(
        self, fake, file, faults, exit_code, generation
    ):
        """A lost answer ends in the truth, and applies at most once."""
        fake.faults = list(faults)
        result = await run_command(fake, 'apply', file)
        assert result.exit_code == exit_code, result.output
        assert fake.document.generation == generation

    async def test_second_operator_sees_the_conflict(self, fake, file):
        """A change from an older generation changes nothing."""
        await run_command(fake, 'apply', file)
        result = await run_command(fake, 'apply', file, '--base=0', '--json')
        assert result.exit_code == 4
        failure = msgspec.json.decode(result.stdout)['error']
        assert failure['outcome'] == 'not_run'
        assert fake.document.generation == 1

    async def test_withdrawal_outlives_an_older_file(self, fake, file):
        """Applying a file returns nothing that is withdrawn."""
        withdrawn = (FailureDomainName('padova-a'),)
        fake.document = msgspec.structs.replace(
            fake.document,
            configuration=Configuration(withdrawn_failure_domains=withdrawn),
            change=ChangeId('other'),
        )
        await run_command(fake, 'apply', file)
        kept = fake.document.configuration.withdrawn_failure_domains
        assert kept == withdrawn

    async def test_shown_configuration_reads_back(self, fake, file):
        """What `show` prints is what `apply` took."""
        await run_command(fake, 'apply', file)
        result = await run_command(fake, 'show')
        assert parse_configuration(result.stdout) == CONFIGURATION

    async def test_diff_tells_by_its_exit_code(self, fake, file):
        """Nothing to change: 0; else 1 and the lines."""
        assert (await run_command(fake, 'diff', file)).exit_code == 1
        await run_command(fake, 'apply', file)
        assert (await run_command(fake, 'diff', file)).exit_code == 0


class TestWithdraw:
    """Taking a failure domain out."""

    async def test_wait_lasts_until_the_work_has_left(self, fake, monkeypatch):
        """Progress is shown until nothing runs there."""
        from ragwortcourse.cli import departure

        monkeypatch.setattr(departure, 'POLL_PERIOD_SECONDS', 0)
        monkeypatch.setattr(departure, 'SETTLING_SECONDS', 0)
        fake.statuses = [(make_target(2),), (make_target(1),), ()]
        result = await run_command(
            fake, 'withdraw', 'failure-domain', 'padova-a', '--wait'
        )
        assert result.exit_code == 0, result.output
        assert '2 under way' in result.stdout
        assert 'work has left' in result.stdout

    async def test_lost_answer_is_asked_again_with_the_same_id(self, fake):
        """A withdrawal sent again carries the same change id."""
        fake.faults = ['cut']
        result = await run_command(fake, 'withdraw', 'target', 'llm-1')
        assert result.exit_code == 0, result.output
        assert len({part.change for _, part in fake.parts}) == 1
        assert len(fake.parts) == 2


class TestUnreachable:
    """No entry daemon answers."""

    def test_exit_code_says_so(self, file):
        """Nothing was reached: 3, and the outcome is not run."""
        entry = f'--entry=127.0.0.1:{unused_port()}'
        result = CliRunner().invoke(main, ['apply', file, entry, '--json'])
        assert result.exit_code == 3
        failure = msgspec.json.decode(result.stdout)['error']
        assert failure['outcome'] == 'not_run'


class TestHelp:
    """``--help`` of every command."""

    @pytest.mark.parametrize('name', sorted(main.commands))
    def test_shows_an_example(self, name):
        """Help ends in an example of use."""
        command = main.commands[name]
        commands = getattr(command, 'commands', {'': command}).values()
        for each in commands:
            assert f'Example: ragwortcourse {name}' in (each.help or '')
