"""Waits until a withdrawn failure domain or target has no work left."""

import asyncio
from typing import Final

import click
import msgspec

from ragwortcourse.cli.connection import Connection
from ragwortcourse.cli.daemon_answer import require_message
from ragwortcourse.cli.operator_client import (
    OperatorRequest,
    quote_name,
    send_to_entries,
)
from ragwortcourse.identifiers import TargetName
from ragwortcourse.messages.operator import (
    AvailabilityChange,
    ChangeAccepted,
    OperatorStatus,
    TargetSummary,
)

POLL_PERIOD_SECONDS: Final = 1.0
# Statuses made less than this after the acceptance may predate the arrival of
# the withdrawal at the agent.
SETTLING_SECONDS: Final = 3.0
# An older status says nothing about the work that a target has now.
STALE_SECONDS: Final = 10.0


class DepartureReport(msgspec.Struct, frozen=True, kw_only=True):
    """How a withdrawal with ``--wait`` ended.

    :param accepted: acceptance of the withdrawal.
    :param seconds: from the acceptance until no work was left.
    :param unseen: targets without a recent status, whose work is unknown.
    """

    accepted: ChangeAccepted
    seconds: float
    unseen: tuple[TargetName, ...] = ()


async def wait_for_departure(
    connection: Connection,
    part: AvailabilityChange,
    accepted: ChangeAccepted,
    *,
    as_json: bool,
) -> DepartureReport:
    """Poll until no target of the part reports work.

    Targets without a recent status are not waited for. Unless ``as_json`` is
    set, a line is printed whenever the number of requests that are under way
    or waiting changes.

    :param part: the failure domain or target that was withdrawn.
    :raises Exit: no status was obtained; the failure has been shown.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    previous = -1
    while True:
        targets = await _read_targets(connection, part, as_json=as_json)
        reporting = tuple(
            target for target in targets if has_recent_status(target)
        )
        remaining = sum(count_work(target) for target in reporting)
        waited = loop.time() - started
        if remaining != previous and not as_json:
            click.echo(f'{waited:6.1f} s  {remaining} under way or waiting')
        previous = remaining
        if not remaining and waited >= SETTLING_SECONDS + max_age(reporting):
            return DepartureReport(
                accepted=accepted,
                seconds=round(waited, 3),
                unseen=tuple(
                    target.target
                    for target in targets
                    if target not in reporting
                ),
            )
        await asyncio.sleep(POLL_PERIOD_SECONDS)


def has_recent_status(target: TargetSummary) -> bool:
    """Tell whether the status of a target is recent."""
    return target.status is not None and max_age((target,)) < STALE_SECONDS


def count_work(target: TargetSummary) -> int:
    """Count requests under way or waiting at a target in its last status."""
    if target.status is None:
        return 0
    return target.status.running + target.status.queued


def max_age(targets: tuple[TargetSummary, ...]) -> float:
    """Return the age in seconds of the oldest known status; 0 without any."""
    return max((target.status_age or 0 for target in targets), default=0)


async def _read_targets(
    connection: Connection, part: AvailabilityChange, *, as_json: bool
) -> tuple[TargetSummary, ...]:
    request = OperatorRequest(
        path=f'/operator/status?{part.scope}={quote_name(part.name)}'
    )
    outcome = await send_to_entries(connection, request)
    return require_message(outcome, OperatorStatus, as_json=as_json).targets
