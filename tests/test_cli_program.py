"""Tests of the commands against a fake entry daemon.

The fake drops requests, loses answers or refuses changes as a test demands.
"""

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
    """Make a target of padova-a with a number of running requests."""
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
    """Make a fake daemon at generation 0 and remove pauses between retries."""
    monkeypatch.setattr(change, 'RETRY_DELAYS_SECONDS', (0.0, 0.0, 0.0))
    return FakeOperators()


@pytest.fixture(name='file')
def write_file(tmp_path) -> str:
    """Write a sound configuration file."""
    path = tmp_path / 'configuration.toml'
    path.write_text(format_toml(CONFIGURATION))
    return str(path)


async def run_command(fake: FakeOperators, *arguments: str) -> Result:
    """Run a command whose first entry daemon is unreachable."""
    async with TestServer(fake.build_app()) as server:
        entries = [
            f'--entry=127.0.0.1:{unused_port()}',
            f'--entry=127.0.0.1:{server.port}',
        ]
        return await asyncio.to_thread(
            CliRunner().invoke, main, [*arguments, *entries]
        )


class TestApply:
    """Applying, showing and comparing configurations."""

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
        """After lost answers the true outcome is reported.

        The change applies at most once.
        """
        fake.faults = list(faults)
        result = await run_command(fake, 'apply', file)
        assert result.exit_code == exit_code, result.output
        assert fake.document.generation == generation

    async def test_second_operator_sees_the_conflict(self, fake, file):
        """A change based on an older generation is a conflict, not run."""
        await run_command(fake, 'apply', file)
        result = await run_command(fake, 'apply', file, '--base=0', '--json')
        assert result.exit_code == 4
        failure = msgspec.json.decode(result.stdout)['error']
        assert failure['outcome'] == 'not_run'
        assert fake.document.generation == 1

    async def test_withdrawal_outlives_an_older_file(self, fake, file):
        """Applying a file without a withdrawal does not end the withdrawal."""
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
        """The output of ``show`` parses to the configuration applied."""
        await run_command(fake, 'apply', file)
        result = await run_command(fake, 'show')
        assert parse_configuration(result.stdout) == CONFIGURATION

    async def test_diff_tells_by_its_exit_code(self, fake, file):
        """``diff`` exits with 1 where the file differs, else with 0."""
        assert (await run_command(fake, 'diff', file)).exit_code == 1
        await run_command(fake, 'apply', file)
        assert (await run_command(fake, 'diff', file)).exit_code == 0


class TestWithdraw:
    """Withdrawing failure domains and targets."""

    async def test_wait_lasts_until_the_work_has_left(self, fake, monkeypatch):
        """``--wait`` shows progress until no request runs there."""
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
        """A withdrawal is sent again with the same id after a lost answer."""
        fake.faults = ['cut']
        result = await run_command(fake, 'withdraw', 'target', 'llm-1')
        assert result.exit_code == 0, result.output
        assert len({part.change for _, part in fake.parts}) == 1
        assert len(fake.parts) == 2


class TestUnreachable:
    """Commands while no entry daemon is reachable."""

    def test_exit_code_says_so(self, file):
        """The exit code is 3 and the outcome not run."""
        entry = f'--entry=127.0.0.1:{unused_port()}'
        result = CliRunner().invoke(main, ['apply', file, entry, '--json'])
        assert result.exit_code == 3
        failure = msgspec.json.decode(result.stdout)['error']
        assert failure['outcome'] == 'not_run'


class TestHelp:
    """``--help`` of every command."""

    @pytest.mark.parametrize('name', sorted(main.commands))
    def test_shows_an_example(self, name):
        """The help of every command contains an example."""
        command = main.commands[name]
        commands = getattr(command, 'commands', {'': command}).values()
        for each in commands:
            assert f'Example: ragwortcourse {name}' in (each.help or '')
