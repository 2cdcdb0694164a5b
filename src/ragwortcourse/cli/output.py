"""Prints results and failures of commands, for people or as JSON."""

from collections.abc import Callable, Iterable
from typing import Final, ParamSpec, TypeVar

import click
import msgspec
from click.exceptions import Exit
from rich.console import Console
from rich.table import Table

from ragwortcourse.cli.exit_code import ExitCode
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.finding_text import format_finding
from ragwortcourse.messages.outcome import OutcomeKind

# Columns of tables that are written to a file or another program.
PLAIN_WIDTH: Final = 200
_Params = ParamSpec('_Params')
_Returned = TypeVar('_Returned')


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """Description of a failed command.

    :param code: stable identifier of the failure, for programs.
    :param message: explanation for people.
    :param outcome: whether a change took effect.
    :param findings: findings in a file or an option.
    :param file: file that the findings are about.
    """

    code: str
    message: str
    outcome: OutcomeKind
    findings: tuple[Finding, ...] = ()
    file: str = ''


class FailureBody(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``--json`` where a command fails."""

    error: Failure


def accept_json(
    command: Callable[_Params, _Returned],
) -> Callable[_Params, _Returned]:
    """Add the option ``--json`` to a command."""
    return click.option(
        '--json', 'as_json', is_flag=True, help='Print JSON for programs.'
    )(command)


def build_console() -> Console:
    """Build a console that prints plain text where there is no terminal."""
    console = Console(highlight=False, soft_wrap=True)
    if not console.is_terminal:
        console.width = PLAIN_WIDTH
    return console


def build_table(*columns: str) -> Table:
    """Build a table without borders that folds long cells."""
    table = Table(box=None, pad_edge=False, show_header=True)
    for column in columns:
        table.add_column(column, overflow='fold')
    return table


def print_json(message: object) -> None:
    """Print a message as indented JSON."""
    encoded = msgspec.json.encode(message)
    click.echo(msgspec.json.format(encoded, indent=2).decode())


def report_failure(
    failure: Failure, exit_code: ExitCode, *, as_json: bool
) -> Exit:
    """Show a failure.

    :return: exception that ends the command with the exit code.
    """
    if as_json:
        print_json(FailureBody(error=failure))
    else:
        click.echo(f'{failure.code}: {failure.message}', err=True)
        click.echo(f'outcome: {failure.outcome}', err=True)
        print_findings(failure.findings, failure.file)
    return Exit(exit_code)


def report_local_refusal(
    code: str,
    message: str,
    *,
    as_json: bool,
    findings: tuple[Finding, ...] = (),
    file: str = '',
) -> Exit:
    """Show a refusal that the command itself decided; nothing was changed.

    :return: exception to raise.
    """
    failure = Failure(
        code=code,
        message=message,
        outcome=OutcomeKind.NOT_RUN,
        findings=findings,
        file=file,
    )
    return report_failure(failure, ExitCode.REFUSED, as_json=as_json)


def print_findings(findings: Iterable[Finding], file: str = '') -> None:
    """Print one line per finding: file, key, value, what is allowed."""
    for finding in findings:
        click.echo(format_finding(finding, file), err=True)
