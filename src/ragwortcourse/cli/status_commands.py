"""Commands that ask how things stand."""

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

# Enough to see a lost store, a desired state or a switch before a request.
BELIEFS: Final = 5


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
    help='Read the lines of daemons from a file instead; may come often.',
)
@click.option(
    '--beliefs',
    default=BELIEFS,
    show_default=True,
    help='With --logs: earlier lines of its daemons about other things.',
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
    question = OperatorRequest(path=f'/operator/requests/{quote_name(request)}')
    record = fetch_message(connection, question, RequestRecord, as_json=as_json)
    if as_json:
        print_json(record)
        return
    click.echo(f'request {record.request}')
    for decision in record.decisions:
        click.echo('\n'.join(describe_decision(decision)))


def read_status(connection: Connection, *, as_json: bool) -> OperatorStatus:
    """Status as the first entry daemon that answers sees it."""
    question = OperatorRequest(path='/operator/status')
    return fetch_message(connection, question, OperatorStatus, as_json=as_json)


def describe_target(target: TargetSummary) -> tuple[str, ...]:
    """Cells of one target's row."""
    names = (target.target, target.deployment, target.failure_domain)
    head = (*names, name_state(target))
    seen = target.status
    if seen is None:
        return head
    versions = [f'{each.model} {each.version}' for each in seen.served]
    counts = (seen.running, seen.limit, seen.queued, seen.generation)
    return (*head, *map(str, counts), ', '.join(versions) or '-')


def name_state(target: TargetSummary) -> str:
    """One word for what a target does."""
    if target.withdrawn:
        return 'withdrawn'
    if target.leaving:
        return 'leaving'
    return 'silent' if target.status is None else 'in service'


def describe_decision(decision: Decision) -> Iterator[str]:
    """Lines about one decision."""
    yield f'{decision.at_ms:10.1f} ms  {decision.point}: {decision.chosen}'
    for name, found in decision.seen.items():
        yield f'                 seen {name}: {found}'
    for way, reason in decision.turned_down.items():
        yield f'                 turned down {way}: {reason}'
