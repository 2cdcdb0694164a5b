"""The command that writes a first configuration."""

import pathlib
import tomllib

import click
import msgspec

from ragwortcourse.cli.configuration_text import format_toml
from ragwortcourse.cli.exit_code import ExitCode
from ragwortcourse.cli.output import (
    Failure,
    accept_json,
    print_json,
    report_failure,
)
from ragwortcourse.cli.questionnaire import ask_configuration
from ragwortcourse.cli.questionnaire_answers import ask_person, read_answers
from ragwortcourse.configuration.check import check_configuration
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.messages.outcome import OutcomeKind


class InitReport(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``init --json``.

    :param file: path of the configuration written.
    """

    file: str


@click.command()
@click.option(
    '--answers',
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
    help='TOML file with the answers, in place of questions.',
)
@click.option(
    '--output',
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    default='configuration.toml',
    show_default=True,
    help='File to write.',
)
@click.option('--force', is_flag=True, help='Replace the file if it exists.')
@accept_json
def init(
    *,
    answers: pathlib.Path | None,
    output: pathlib.Path,
    force: bool,
    as_json: bool,
) -> None:
    """Make a configuration from the answers to a few questions.

    The result is one that `check` accepts. API keys that it makes are
    printed once, on standard error; the file holds only their digests.

    Exit code 0: written. 1: findings in the answers, nothing written.

    Example: ragwortcourse init --answers answers.toml
    """
    if output.exists() and not force:
        raise click.UsageError(f'{output} exists; --force replaces it')
    configuration = _collect_answers(answers)
    if isinstance(configuration, Configuration):
        findings = check_configuration(configuration)
    else:
        findings = configuration
    if not isinstance(configuration, Configuration) or findings:
        failure = Failure(
            code='answers_unsound',
            message=f'{answers or "answers"}: {len(findings)} findings',
            outcome=OutcomeKind.NOT_RUN,
            findings=findings,
            file=str(answers or ''),
        )
        raise report_failure(failure, ExitCode.REFUSED, as_json=as_json)
    output.write_text(format_toml(configuration), encoding='utf-8')
    if as_json:
        print_json(InitReport(file=str(output)))
    else:
        click.echo(f'{output} written; next: ragwortcourse apply {output}')


def announce_key(account: str, api_key: str) -> None:
    """Print a new API key on standard error.

    The key is shown only here; the configuration holds its digest.
    """
    click.echo(f'client account {account}: API key {api_key}', err=True)


def _collect_answers(
    answers: pathlib.Path | None,
) -> Configuration | tuple[Finding, ...]:
    if answers is None:
        return ask_configuration(ask_person, announce_key)
    try:
        raw = tomllib.loads(answers.read_text(encoding='utf-8'))
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return (
            Finding(
                place='',
                value='',
                allowed='TOML 1.0 in UTF-8',
                message=str(error),
            ),
        )
    new_keys: list[tuple[str, str]] = []
    answers_file = read_answers(raw)
    configuration = ask_configuration(
        answers_file.ask,
        lambda account, api_key: new_keys.append((account, api_key)),
    )
    findings = answers_file.list_findings()
    if findings:
        return findings
    for account, api_key in new_keys:
        announce_key(account, api_key)
    return configuration
