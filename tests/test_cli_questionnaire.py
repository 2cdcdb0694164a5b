"""Tests of the questionnaire and of the shipped examples."""

import pathlib

import pytest
from click.testing import CliRunner

from ragwortcourse.cli.program import main
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.toml_parsing import parse_configuration
from ragwortcourse.settings import Settings
from ragwortcourse.settings_file import read_settings

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
TYPED = (
    'milano-a', 'lombardia', 'drafts', '',
    'house, house', 'house',  # a duplicate name is not allowed
    '', 'not a version!', '7', 'abc', 'a' * 64, '', '',
    '4', '2', '', '',  # a warm limit below the cold one is not allowed
    '', '',
)  # fmt: skip


class TestInit:
    """``init`` with answers from a file or a person."""

    @pytest.mark.parametrize('site', ['consorzio', 'kalliga'])
    def test_answers_give_the_example(self, tmp_path, site):
        """The answers of a site give exactly its example configuration."""
        output = tmp_path / 'configuration.toml'
        answers = EXAMPLES / f'{site}-answers.toml'
        result = CliRunner().invoke(
            main, ['init', f'--answers={answers}', f'--output={output}']
        )
        assert result.exit_code == 0, result.output
        example = (EXAMPLES / f'{site}.toml').read_text()
        made = parse_configuration(output.read_text())
        assert made == parse_configuration(example)
        assert isinstance(made, Configuration)

    def test_person_is_asked_until_the_answer_may_stand(self, tmp_path):
        """Questions are repeated until the answer is allowed."""
        output = tmp_path / 'configuration.toml'
        result = CliRunner().invoke(
            main, ['init', f'--output={output}'], input='\n'.join((*TYPED, ''))
        )
        assert result.exit_code == 0, result.output
        made = parse_configuration(output.read_text())
        assert isinstance(made, Configuration)
        assert made.models[0].version == '7'
        assert 'API key rc-' in result.stderr

    def test_every_bad_answer_is_reported_and_nothing_written(self, tmp_path):
        """Bad, missing and surplus answers are all reported in one run."""
        answers = tmp_path / 'answers.toml'
        answers.write_text(
            'failure_domains = ["a b"]\nclient_accounts = "one"\n'
            'models = ["m"]\ncolour = "blue"\n[model.m]\ncold = "many"\n'
        )
        output = tmp_path / 'configuration.toml'
        result = CliRunner().invoke(
            main, ['init', f'--answers={answers}', f'--output={output}']
        )
        assert result.exit_code == 1
        for place in (
            'failure_domains',
            'model.m.version',
            'model.m.manifest_sha256',
            'model.m.cold',
            'colour',
        ):
            assert f': {place}' in result.stderr
        assert not output.exists()


class TestExamples:
    """The shipped example settings."""

    @pytest.mark.parametrize('name', ['entry', 'agent'])
    def test_settings_are_sound(self, name):
        """The example settings are read without findings."""
        settings = read_settings(EXAMPLES / f'{name}-settings.toml')
        assert isinstance(settings, Settings)

    def test_agent_knows_the_region_of_the_origin(self):
        """The origin region is a region of the matching configuration.

        The example settings of the agent go with ``consorzio.toml``.
        """
        settings = read_settings(EXAMPLES / 'agent-settings.toml')
        made = parse_configuration((EXAMPLES / 'consorzio.toml').read_text())
        assert isinstance(settings, Settings)
        assert isinstance(made, Configuration)
        regions = {domain.region for domain in made.failure_domains}
        assert settings.platform.origin_region in regions
