"""Commands that show and cancel the rollout of weights."""

import time

import click

from ragwortcourse.cli.acceptance import require_acceptance, show_acceptance
from ragwortcourse.cli.change import generate_change_id
from ragwortcourse.cli.configuration_commands import read_current
from ragwortcourse.cli.connection import Connection, accept_connection
from ragwortcourse.cli.daemon_answer import fetch_message
from ragwortcourse.cli.operator_client import OperatorRequest, quote_name
from ragwortcourse.cli.output import (
    accept_json,
    print_json,
    report_local_refusal,
)
from ragwortcourse.cli.replica_table import show_progress, show_replicas
from ragwortcourse.identifiers import DeploymentName
from ragwortcourse.messages.operator import (
    ReplicaProgress,
    RolloutCancellation,
)

POLL_PERIOD_SECONDS = 1.0


@click.command()
@click.argument('model')
@click.option('--wait', is_flag=True, help='Show progress to the end.')
@accept_connection
@accept_json
def replicas(
    *, model: str, wait: bool, connection: Connection, as_json: bool
) -> None:
    """Show how many targets answer with a model's wanted version.

    MODEL is the name of a model or of a deployment. The daemon asks every
    target of the model, also those that it does not watch itself.

    Exit code 0: shown (with --wait: all are ready). 1: no such model.

    Example: ragwortcourse replicas desk-drafts --wait
    """
    names = find_deployments(connection, model, as_json=as_json)
    progress = read_progress(connection, names, as_json=as_json)
    while wait and not all(is_complete(each) for each in progress):
        if not as_json:
            show_progress(progress)
        time.sleep(POLL_PERIOD_SECONDS)
        progress = read_progress(connection, names, as_json=as_json)
    if as_json:
        print_json(progress)
    else:
        show_progress(progress)
        show_replicas(progress)


@click.command()
@click.argument('deployment')
@accept_connection
@accept_json
def cancel(*, deployment: str, connection: Connection, as_json: bool) -> None:
    """Give up the version that is on its way to a deployment's targets.

    They go on with the version they have.

    Example: ragwortcourse cancel desk-drafts
    """
    body = RolloutCancellation(
        deployment=DeploymentName(deployment), change=generate_change_id()
    )
    request = OperatorRequest(
        path='/operator/weights/cancel', method='POST', body=body
    )
    accepted = require_acceptance(
        connection, request, body.change, as_json=as_json
    )
    show_acceptance(accepted, 'cancelled', as_json=as_json)


def find_deployments(
    connection: Connection, name: str, *, as_json: bool
) -> tuple[DeploymentName, ...]:
    """Find the deployments of a model, or the deployment of that name.

    :raises Exit: there is none; the failure has been shown.
    """
    document = read_current(connection, as_json=as_json)
    models = () if document is None else document.configuration.models
    found = tuple(
        each.name for each in models if name in {each.name, each.model}
    )
    if found:
        return found
    known = ', '.join(each.name for each in models) or 'none'
    raise report_local_refusal(
        'deployment_unknown',
        f'{name} names no model or deployment; there are: {known}',
        as_json=as_json,
    )


def read_progress(
    connection: Connection,
    names: tuple[DeploymentName, ...],
    *,
    as_json: bool,
) -> tuple[ReplicaProgress, ...]:
    """Read the rollout progress of each deployment."""
    return tuple(
        fetch_message(
            connection,
            OperatorRequest(path=f'/operator/replicas/{quote_name(name)}'),
            ReplicaProgress,
            as_json=as_json,
        )
        for name in names
    )


def is_complete(progress: ReplicaProgress) -> bool:
    """Tell whether as many replicas are ready as are wanted."""
    return progress.wanted <= progress.ready
