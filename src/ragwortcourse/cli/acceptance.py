"""Submits a configuration change and shows its acceptance."""

import click

from ragwortcourse.cli.change import submit_change
from ragwortcourse.cli.connection import Connection
from ragwortcourse.cli.daemon_answer import require_message
from ragwortcourse.cli.operator_client import OperatorRequest, run_client
from ragwortcourse.cli.output import print_json
from ragwortcourse.identifiers import ChangeId, Generation
from ragwortcourse.messages.operator import ChangeAccepted


def require_acceptance(
    connection: Connection,
    request: OperatorRequest,
    change: ChangeId,
    base: Generation | None = None,
    *,
    as_json: bool,
) -> ChangeAccepted:
    """Submit a change and return its acceptance.

    :param change: change id that the request carries.
    :param base: generation that must be in force for the change to apply;
        none: any.
    :raises Exit: the change was refused or its outcome is unknown; the
        failure has been shown.
    """
    outcome = run_client(submit_change(connection, request, change, base))
    return require_message(outcome, ChangeAccepted, as_json=as_json)


def show_acceptance(
    accepted: ChangeAccepted, text: str, *, as_json: bool
) -> None:
    """Show that a change is in force.

    :param text: what was done; shown to people only.
    """
    if as_json:
        print_json(accepted)
        return
    click.echo(f'{text}: generation {accepted.generation}')
    if accepted.pending:
        click.echo('in force; to be written when the table service is back')
