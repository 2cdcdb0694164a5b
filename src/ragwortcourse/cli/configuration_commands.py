"""Commands that apply, show and compare whole configurations."""

import difflib
import pathlib

import click
import msgspec

from ragwortcourse.cli.acceptance import require_acceptance, show_acceptance
from ragwortcourse.cli.change import CONFIGURATION_PATH, generate_change_id
from ragwortcourse.cli.configuration_file import require_configuration
from ragwortcourse.cli.configuration_text import format_toml
from ragwortcourse.cli.connection import Connection, accept_connection
from ragwortcourse.cli.daemon_answer import read_refusal, require_message
from ragwortcourse.cli.operator_client import (
    Answered,
    OperatorRequest,
    run_client,
    send_to_entries,
)
from ragwortcourse.cli.output import accept_json, print_json
from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.identifiers import Generation
from ragwortcourse.messages.operator import ConfigurationChange

STATUS_UNAVAILABLE = 503
FILE_ARGUMENT = click.argument(
    'file', type=click.Path(path_type=pathlib.Path, dir_okay=False)
)


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``diff --json``.

    :param generation: generation in force that the file was compared with.
    :param lines: unified diff from the configuration in force to the file.
    """

    generation: Generation
    lines: tuple[str, ...]


@click.command()
@FILE_ARGUMENT
@click.option(
    '--base',
    type=click.IntRange(min=0),
    help='Generation the file was made from; default: the one in force. '
    'Where another is in force by then, nothing is changed (exit code 4).',
)
@accept_connection
@accept_json
def apply(
    *,
    file: pathlib.Path,
    base: int | None,
    connection: Connection,
    as_json: bool,
) -> None:
    """Put a configuration file in force everywhere.

    What is withdrawn stays withdrawn, whatever the file says; only
    `return` ends a withdrawal.

    Exit code 0: accepted. 1: refused. 3: nothing reached. 4: another
    operator went first. 5: unknown, look at `ragwortcourse show`.

    Example: ragwortcourse apply configuration.toml --base 12
    """
    configuration = require_configuration(file, as_json=as_json)
    current = read_current(connection, as_json=as_json)
    generation = Generation(0)
    if current is not None:
        generation = current.generation
        configuration = copy_withdrawals(configuration, current.configuration)
    change = ConfigurationChange(
        base_generation=generation if base is None else Generation(base),
        configuration=configuration,
        change=generate_change_id(),
    )
    accepted = require_acceptance(
        connection,
        OperatorRequest(path=CONFIGURATION_PATH, method='POST', body=change),
        change.change,
        change.base_generation,
        as_json=as_json,
    )
    show_acceptance(accepted, 'accepted', as_json=as_json)


@click.command()
@accept_connection
@accept_json
def show(*, connection: Connection, as_json: bool) -> None:
    """Print the configuration in force, as TOML that `apply` takes.

    Example: ragwortcourse show > configuration.toml
    """
    document = read_current(connection, as_json=as_json)
    if as_json:
        print_json(document)
    elif document is None:
        click.echo('# no configuration is in force yet')
    else:
        click.echo(f'# generation {document.generation}')
        click.echo(format_toml(document.configuration), nl=False)


@click.command()
@FILE_ARGUMENT
@accept_connection
@accept_json
def diff(*, file: pathlib.Path, connection: Connection, as_json: bool) -> None:
    """Show what `apply` of a file would change.

    Exit code 0: nothing would change. 1: differences, or findings.

    Example: ragwortcourse diff configuration.toml
    """
    configuration = require_configuration(file, as_json=as_json)
    document = read_current(connection, as_json=as_json)
    difference = compare(document, configuration)
    if as_json:
        print_json(difference)
    else:
        click.echo('\n'.join(difference.lines))
    if difference.lines:
        raise click.exceptions.Exit(1)


def compare(
    document: ConfigurationDocument | None, wanted: Configuration
) -> Difference:
    """Compare the configuration in force with a wanted one.

    Withdrawals do not count as differences, as applying a file keeps them.
    """
    current = Configuration()
    generation = Generation(0)
    if document is not None:
        current = document.configuration
        generation = document.generation
        wanted = copy_withdrawals(wanted, current)
    lines = difflib.unified_diff(
        format_toml(current).splitlines(),
        format_toml(wanted).splitlines(),
        fromfile=f'generation {generation}',
        tofile='file',
        lineterm='',
    )
    return Difference(generation=generation, lines=tuple(lines))


def copy_withdrawals(
    wanted: Configuration, current: Configuration
) -> Configuration:
    """Return the wanted configuration with the withdrawals in force."""
    return msgspec.structs.replace(
        wanted,
        withdrawn_failure_domains=current.withdrawn_failure_domains,
        withdrawn_targets=current.withdrawn_targets,
    )


def read_current(
    connection: Connection, *, as_json: bool
) -> ConfigurationDocument | None:
    """Read the configuration document in force.

    :return: none where no configuration has been accepted yet.
    :raises Exit: the document was not obtained; the failure has been shown.
    """
    outcome = run_client(
        send_to_entries(connection, OperatorRequest(path=CONFIGURATION_PATH))
    )
    if isinstance(outcome, Answered) and outcome.status == STATUS_UNAVAILABLE:
        refusal = read_refusal(outcome)
        if refusal is not None and refusal.error.code == 'no_configuration':
            return None
    return require_message(outcome, ConfigurationDocument, as_json=as_json)
