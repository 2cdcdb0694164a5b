"""Commands that show the state of targets and explain one request."""

import pathlib
from collections.abc import Iterator
from typing import Final

import click

from ragwortcourse.cli.connection import Connection, accept_connection
from ragwortcourse.cli.daemon_answer import fetch_message
from ragwortcourse.cli.log_explanation import explain_from_logs
from ragwortcourse.cli.operator_client import OperatorRequest, quote_name
from ragwortcourse.cli.output import (
    accept_json,
    build_console,
    build_table,
    print_json,
)
from ragwortcourse.messages.decision import Decision, RequestRecord
from ragwortcourse.messages.operator import OperatorStatus, TargetSummary

# Enough to include a lost store, a change of desired state or a version switch
# just before a request.
DEFAULT_CONTEXT_LINES: Final = 5


@click.command()
@accept_connection
@accept_json
def status(*, connection: Connection, as_json: bool) -> None:
    """Show the targets that an entry daemon watches, and withdrawals.

    Example: ragwortcourse status --entry 10.0.0.5:7004
    """
    report = read_status(connection, as_json=as_json)
    if as_json:
        print_json(report)
        return
    console = build_console()
    console.print(f'daemon {report.daemon}, generation {report.generation}')
    if not report.table_reachable:
        console.print('the table service does not answer')
    for withdrawal in report.withdrawals:
        console.print(
            f'withdrawn, not yet written: {withdrawal.scope} '
            f'{withdrawal.name} (change {withdrawal.change})'
        )
    table = build_table(
        'target', 'deployment', 'failure domain', 'state', 'running', 'limit',
        'queued', 'generation', 'serves',
    )  # fmt: skip
    for target in report.targets:
        table.add_row(*describe_target(target))
    console.print(table)


@click.command()
@click.argument('request')
@click.option(
    '--logs',
    multiple=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help='Read log lines of daemons from a file instead of asking a daemon; '
    'may be given more than once.',
)
@click.option(
    '--beliefs',
    default=DEFAULT_CONTEXT_LINES,
    show_default=True,
    help='With --logs: lines about no request to show of each daemon, from '
    'just before its first line about this request.',
)
@accept_connection
@accept_json
def explain(
    *,
    request: str,
    logs: tuple[pathlib.Path, ...],
    beliefs: int,
    connection: Connection,
    as_json: bool,
) -> None:
    """Show every decision on one request, in order.

    REQUEST is the id that the answer carried as x-request-id; in the logs of
    forwarders it is the caller's attempt id.

    Example: ragwortcourse explain 9e6dab59d76c0ae0 --logs daemons.log
    """
    if logs:
        explain_from_logs(request, logs, beliefs, as_json=as_json)
        return
    operator_request = OperatorRequest(
        path=f'/operator/requests/{quote_name(request)}'
    )
    record = fetch_message(
        connection, operator_request, RequestRecord, as_json=as_json
    )
    if as_json:
        print_json(record)
        return
    click.echo(f'request {record.request}')
    for decision in record.decisions:
        click.echo('\n'.join(describe_decision(decision)))


def read_status(connection: Connection, *, as_json: bool) -> OperatorStatus:
    """Read the status from the first entry daemon that answers."""
    operator_request = OperatorRequest(path='/operator/status')
    return fetch_message(
        connection, operator_request, OperatorStatus, as_json=as_json
    )


def describe_target(target: TargetSummary) -> tuple[str, ...]:
    """Return the table cells of one target."""
    names = (target.target, target.deployment, target.failure_domain)
    head = (*names, name_state(target))
    seen = target.status
    if seen is None:
        return head
    versions = [f'{each.model} {each.version}' for each in seen.served]
    counts = (seen.running, seen.limit, seen.queued, seen.generation)
    return (*head, *map(str, counts), ', '.join(versions) or '-')


def name_state(target: TargetSummary) -> str:
    """Return the state of a target as shown to people."""
    if target.withdrawn:
        return 'withdrawn'
    if target.leaving:
        return 'leaving'
    return 'silent' if target.status is None else 'in service'


def describe_decision(decision: Decision) -> Iterator[str]:
    """Format one decision as lines of text."""
    yield f'{decision.at_ms:10.1f} ms  {decision.point}: {decision.chosen}'
    for name, observed in decision.seen.items():
        yield f'                 seen {name}: {observed}'
    for option, reason in decision.turned_down.items():
        yield f'                 turned down {option}: {reason}'
