"""Prints the rollout progress of a model's replicas for people."""

from typing import Final

import click

from ragwortcourse.cli.output import build_console, build_table
from ragwortcourse.messages.operator import ReplicaProgress, ReplicaSummary
from ragwortcourse.messages.target_status import WeightTransferProgress

UNKNOWN: Final = '-'


def show_progress(progress: tuple[ReplicaProgress, ...]) -> None:
    """Print one line per deployment."""
    for each in progress:
        downloaded = each.from_origin + each.from_peers
        click.echo(
            f'{each.deployment}: {each.model} {each.version}: '
            f'{each.ready} of {each.wanted} ready, '
            f'{each.rate:.0f} bytes/s, {downloaded} bytes drawn, '
            f'{format_share(each.from_origin, downloaded)} from the origin, '
            f'last byte in {format_seconds(each.seconds_left)}'
        )


def show_replicas(progress: tuple[ReplicaProgress, ...]) -> None:
    """Print a table with one row per target."""
    table = build_table(
        'target', 'failure domain', 'ready', 'held', 'of', 'bytes/s',
        'from origin', 'from peers', 'left', 'detail',
    )  # fmt: skip
    for each in progress:
        for replica in each.replicas:
            table.add_row(*describe_replica(replica))
    build_console().print(table)


def describe_replica(replica: ReplicaSummary) -> tuple[str, ...]:
    """Return the table cells of one replica."""
    names = (str(replica.target), str(replica.failure_domain))
    if replica.status_age is None:
        return (*names, 'silent')
    ready = 'yes' if replica.ready else 'no'
    transfer = replica.landing
    if transfer is None:
        return (*names, ready)
    return (*names, ready, *describe_transfer(transfer))


def describe_transfer(transfer: WeightTransferProgress) -> tuple[str, ...]:
    """Return the table cells about a weight transfer in progress."""
    downloaded = transfer.from_origin + transfer.from_peers
    counts = (str(transfer.held), str(transfer.total), f'{transfer.rate:.0f}')
    shares = (
        format_share(transfer.from_origin, downloaded),
        format_share(transfer.from_peers, downloaded),
    )
    left = format_seconds(transfer.seconds_left)
    return (*counts, *shares, left, transfer.detail)


def format_share(part: int, whole: int) -> str:
    """Format a part as a percentage; a dash where the whole is zero."""
    return f'{part / whole:.0%}' if whole else UNKNOWN


def format_seconds(seconds: float | None) -> str:
    """Format seconds as a whole number; a dash where they are unknown."""
    return UNKNOWN if seconds is None else f'{seconds:.0f} s'
