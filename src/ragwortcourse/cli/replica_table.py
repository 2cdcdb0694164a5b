"""How a model's replicas come along, for people."""

from typing import Final

import click

from ragwortcourse.cli.output import build_console, build_table
from ragwortcourse.messages.operator import ReplicaProgress, ReplicaSummary
from ragwortcourse.messages.target_status import WeightTransferProgress

UNKNOWN: Final = '-'


def show_progress(progress: tuple[ReplicaProgress, ...]) -> None:
    """One line for each deployment."""
    for each in progress:
        drawn = each.from_origin + each.from_peers
        click.echo(
            f'{each.deployment}: {each.model} {each.version}: '
            f'{each.ready} of {each.wanted} ready, '
            f'{each.rate:.0f} bytes/s, {drawn} bytes drawn, '
            f'{format_share(each.from_origin, drawn)} from the origin, '
            f'last byte in {format_seconds(each.seconds_left)}'
        )


def show_replicas(progress: tuple[ReplicaProgress, ...]) -> None:
    """One row for each target."""
    table = build_table(
        'target', 'failure domain', 'ready', 'held', 'of', 'bytes/s',
        'from origin', 'from peers', 'left', 'detail',
    )  # fmt: skip
    for each in progress:
        for replica in each.replicas:
            table.add_row(*describe_replica(replica))
    build_console().print(table)


def describe_replica(replica: ReplicaSummary) -> tuple[str, ...]:
    """Cells of one replica's row."""
    names = (str(replica.target), str(replica.failure_domain))
    if replica.status_age is None:
        return (*names, 'silent')
    ready = 'yes' if replica.ready else 'no'
    landing = replica.landing
    if landing is None:
        return (*names, ready)
    return (*names, ready, *describe_landing(landing))


def describe_landing(landing: WeightTransferProgress) -> tuple[str, ...]:
    """Cells about weights on their way."""
    drawn = landing.from_origin + landing.from_peers
    counts = (str(landing.held), str(landing.total), f'{landing.rate:.0f}')
    shares = (
        format_share(landing.from_origin, drawn),
        format_share(landing.from_peers, drawn),
    )
    left = format_seconds(landing.seconds_left)
    return (*counts, *shares, left, landing.detail)


def format_share(part: int, whole: int) -> str:
    """A part in a hundred; a dash of nothing."""
    return f'{part / whole:.0%}' if whole else UNKNOWN


def format_seconds(seconds: float | None) -> str:
    """Whole seconds; a dash where they are not known."""
    return UNKNOWN if seconds is None else f'{seconds:.0f} s'
