"""Waits until the work of a withdrawn part has left."""

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
# Statuses this young were made after the withdrawal came into force.
SETTLING_SECONDS: Final = 3.0
# Nothing is known of a target that has been silent for so long.
STALE_SECONDS: Final = 10.0


class DepartureReport(msgspec.Struct, frozen=True, kw_only=True):
    """How a part left.

    :param seconds: from the acceptance until its work had left.
    :param unseen: targets that gave no word.
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
    """Return once no target of the part has work, as its agents say.

    Prints a line whenever the count of work under way changes.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    shown = -1
    while True:
        targets = await _read_targets(connection, part, as_json=as_json)
        heard = tuple(target for target in targets if is_heard(target))
        left = sum(count_work(target) for target in heard)
        waited = loop.time() - started
        if left != shown and not as_json:
            click.echo(f'{waited:6.1f} s  {left} under way or waiting')
        shown = left
        if not left and waited >= SETTLING_SECONDS + find_age(heard):
            return DepartureReport(
                accepted=accepted,
                seconds=round(waited, 3),
                unseen=tuple(
                    target.target for target in targets if target not in heard
                ),
            )
        await asyncio.sleep(POLL_PERIOD_SECONDS)


def is_heard(target: TargetSummary) -> bool:
    """Tell whether a target has lately given its status."""
    return target.status is not None and find_age((target,)) < STALE_SECONDS


def count_work(target: TargetSummary) -> int:
    """Requests under way or waiting at a target, from its newest status."""
    if target.status is None:
        return 0
    return target.status.running + target.status.queued


def find_age(targets: tuple[TargetSummary, ...]) -> float:
    """Seconds since the oldest status that was given at all."""
    return max((target.status_age or 0 for target in targets), default=0)


async def _read_targets(
    connection: Connection, part: AvailabilityChange, *, as_json: bool
) -> tuple[TargetSummary, ...]:
    question = OperatorRequest(
        path=f'/operator/status?{part.scope}={quote_name(part.name)}'
    )
    outcome = await send_to_entries(connection, question)
    return require_message(outcome, OperatorStatus, as_json=as_json).targets
