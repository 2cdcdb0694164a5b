"""Sends a change to the end and shows what came of it."""

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
    question: OperatorRequest,
    change: ChangeId,
    base: Generation | None = None,
    *,
    as_json: bool,
) -> ChangeAccepted:
    """Acceptance of a change; ends the command without one.

    :param change: id that the question carries.
    :param base: generation the change starts from, where it must be so.
    """
    outcome = run_client(submit_change(connection, question, change, base))
    return require_message(outcome, ChangeAccepted, as_json=as_json)


def show_acceptance(
    accepted: ChangeAccepted, text: str, *, as_json: bool
) -> None:
    """Show that a change is in force.

    :param text: what was done, for people.
    """
    if as_json:
        print_json(accepted)
        return
    click.echo(f'{text}: generation {accepted.generation}')
    if accepted.pending:
        click.echo('in force; to be written when the table service is back')
