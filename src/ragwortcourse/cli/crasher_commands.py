"""Commands for requests that are refused because they crash targets."""

import click
import msgspec

from ragwortcourse.cli.connection import Connection, accept_connection
from ragwortcourse.cli.daemon_answer import fetch_message, require_success
from ragwortcourse.cli.operator_client import (
    OperatorRequest,
    quote_name,
    run_client,
    send_to_entries,
)
from ragwortcourse.cli.output import (
    accept_json,
    build_console,
    build_table,
    print_json,
)
from ragwortcourse.messages.operator import CrasherList

CRASHERS_PATH = '/operator/crashers'


class Released(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``crashers release --json``.

    :param released: fingerprint of the request that may run again.
    """

    released: str


@click.group()
def crashers() -> None:
    """List and release requests refused because they crash targets."""


@crashers.command('list')
@accept_connection
@accept_json
def list_crashers(*, connection: Connection, as_json: bool) -> None:
    """List the requests that are refused, by fingerprint.

    Example: ragwortcourse crashers list
    """
    found = fetch_message(
        connection,
        OperatorRequest(path=CRASHERS_PATH),
        CrasherList,
        as_json=as_json,
    )
    if as_json:
        print_json(found)
        return
    table = build_table('fingerprint', 'client account', 'targets')
    for crasher in found.crashers:
        table.add_row(
            crasher.fingerprint, crasher.account, ', '.join(crasher.targets)
        )
    build_console().print(table)


@crashers.command('release')
@click.argument('fingerprint')
@accept_connection
@accept_json
def release_crasher(
    *, fingerprint: str, connection: Connection, as_json: bool
) -> None:
    """Let a request that was refused run again.

    Example: ragwortcourse crashers release 9f86d081884c7d65
    """
    request = OperatorRequest(
        path=f'{CRASHERS_PATH}/{quote_name(fingerprint)}', method='DELETE'
    )
    outcome = run_client(send_to_entries(connection, request))
    require_success(outcome, as_json=as_json)
    if as_json:
        print_json(Released(released=fingerprint))
    else:
        click.echo(f'released {fingerprint}')
