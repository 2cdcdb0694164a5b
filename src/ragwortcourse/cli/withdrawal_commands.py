"""Commands that withdraw and return a failure domain or a target."""

import asyncio

import click

from ragwortcourse.cli.acceptance import require_acceptance, show_acceptance
from ragwortcourse.cli.change import generate_change_id
from ragwortcourse.cli.connection import Connection, accept_connection
from ragwortcourse.cli.departure import DepartureReport, wait_for_departure
from ragwortcourse.cli.operator_client import OperatorRequest
from ragwortcourse.cli.output import accept_json, print_json
from ragwortcourse.messages.operator import AvailabilityChange
from ragwortcourse.messages.withdrawal import WithdrawalScope

WITHDRAWALS_PATH = '/operator/withdrawals'
RETURNS_PATH = '/operator/returns'
SCOPE_ARGUMENT = click.argument(
    'scope',
    metavar='{failure-domain|target}',
    type=click.Choice(['failure-domain', 'target']),
)


@click.command()
@SCOPE_ARGUMENT
@click.argument('name')
@click.option(
    '--wait',
    is_flag=True,
    help='Show progress until its work has left.',
)
@accept_connection
@accept_json
def withdraw(
    *,
    scope: str,
    name: str,
    wait: bool,
    connection: Connection,
    as_json: bool,
) -> None:
    """Give a failure domain or a target no new work; what runs finishes.

    Works while the table service is away.

    Exit code 0: in force (with --wait: and its work has left). 1: refused.
    3: nothing reached. 5: unknown.

    Example: ragwortcourse withdraw failure-domain padova-a --wait
    """
    part = build_availability_change(scope, name)
    accepted = require_acceptance(
        connection,
        OperatorRequest(path=WITHDRAWALS_PATH, method='POST', body=part),
        part.change,
        as_json=as_json,
    )
    if not wait:
        show_acceptance(accepted, f'{name} withdrawn', as_json=as_json)
        return
    report = asyncio.run(
        wait_for_departure(connection, part, accepted, as_json=as_json)
    )
    show_departure(report, as_json=as_json)


@click.command('return')
@SCOPE_ARGUMENT
@click.argument('name')
@accept_connection
@accept_json
def return_part(
    *, scope: str, name: str, connection: Connection, as_json: bool
) -> None:
    """Let a failure domain or a target take work again.

    Needs the table service. Its targets warm up before they take their full
    load.

    Exit code 0: in force. 1: refused. 3: nothing reached. 4: another
    operator went first. 5: unknown.

    Example: ragwortcourse return failure-domain padova-a
    """
    part = build_availability_change(scope, name)
    accepted = require_acceptance(
        connection,
        OperatorRequest(path=RETURNS_PATH, method='POST', body=part),
        part.change,
        as_json=as_json,
    )
    show_acceptance(accepted, f'{name} returned', as_json=as_json)


def build_availability_change(scope: str, name: str) -> AvailabilityChange:
    """Build the change for a failure domain or target named by the operator."""
    return AvailabilityChange(
        scope=WithdrawalScope(scope.replace('-', '_')),
        name=name,
        change=generate_change_id(),
    )


def show_departure(report: DepartureReport, *, as_json: bool) -> None:
    """Show how a withdrawal with ``--wait`` ended."""
    if as_json:
        print_json(report)
    elif report.unseen:
        names = ', '.join(report.unseen)
        click.echo(f'its work has left; not heard from: {names}')
    else:
        click.echo('its work has left')
