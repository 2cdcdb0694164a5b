"""Waits until the work of a withdrawn part has left."""

import asyncio
from typing import Final

import click
import msgspec

from ragwortcourse.cli.answer import require_message
from ragwortcourse.cli.connection import Connection
from ragwortcourse.cli.operator_client import Question, ask_entries
from ragwortcourse.identifiers import TargetName
from ragwortcourse.messages.operator import (
    ChangeAccepted,
    OperatorStatus,
    PartChange,
    TargetSummary,
)
from ragwortcourse.messages.withdrawal import WithdrawalScope

POLL_PERIOD_SECONDS: Final = 1.0
# Statuses this young were made after the withdrawal came into force.
SETTLING_SECONDS: Final = 3.0


class DepartureReport(msgspec.Struct, frozen=True, kw_only=True):
    """How a part left.

    :param seconds: from the acceptance until its work had left.
    :param unseen: targets whose state is not known to the daemon asked.
    """

    accepted: ChangeAccepted
    seconds: float
    unseen: tuple[TargetName, ...] = ()


async def wait_for_departure(
    connection: Connection,
    part: PartChange,
    accepted: ChangeAccepted,
    *,
    as_json: bool,
) -> DepartureReport:
    """Return once no target of the part has work, as one daemon sees it.

    Prints a line whenever the count of work under way changes.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    shown = -1
    while True:
        targets = await _read_targets(connection, part, as_json=as_json)
        left = sum(count_work(target) for target in targets)
        waited = loop.time() - started
        if left != shown and not as_json:
            click.echo(f'{waited:6.1f} s  {left} under way or waiting')
        shown = left
        if not left and waited >= SETTLING_SECONDS:
            return DepartureReport(
                accepted=accepted,
                seconds=round(waited, 3),
                unseen=tuple(
                    target.target for target in targets if not target.status
                ),
            )
        await asyncio.sleep(POLL_PERIOD_SECONDS)


def count_work(target: TargetSummary) -> int:
    """Requests under way or waiting at a target, from its newest status."""
    if target.status is None:
        return target.in_flight
    return target.status.running + target.status.queued


async def _read_targets(
    connection: Connection, part: PartChange, *, as_json: bool
) -> tuple[TargetSummary, ...]:
    outcome = await ask_entries(connection, Question(path='/operator/status'))
    status = require_message(outcome, OperatorStatus, as_json=as_json)
    if part.scope is WithdrawalScope.TARGET:
        return tuple(
            each for each in status.targets if each.target == part.name
        )
    return tuple(
        each for each in status.targets if each.failure_domain == part.name
    )
