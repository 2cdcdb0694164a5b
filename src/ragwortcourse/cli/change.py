"""Submits changes and settles their outcome after lost answers.

A change carries an id. Where an answer is lost, the configuration in force is
searched for that id before the change is sent again.
"""

import asyncio
import secrets
from typing import Final

import msgspec

from ragwortcourse.cli.connection import Connection
from ragwortcourse.cli.daemon_answer import (
    MIN_SERVER_ERROR_STATUS,
    STATUS_CONFLICT,
    STATUS_OK,
    read_refusal,
)
from ragwortcourse.cli.operator_client import (
    Answered,
    AnswerLost,
    OperatorRequest,
    SendOutcome,
    Unreached,
    send_to_entries,
)
from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.identifiers import ChangeId, Generation
from ragwortcourse.messages.operator import (
    ChangeAccepted,
    ChangeConflict,
)
from ragwortcourse.messages.outcome import OutcomeKind

CONFIGURATION_PATH: Final = '/operator/configuration'
CHANGE_ID_BYTES: Final = 16
RETRY_DELAYS_SECONDS: Final = (0.2, 1.0, 3.0)


def generate_change_id() -> ChangeId:
    """Return a new random change id."""
    return ChangeId(secrets.token_hex(CHANGE_ID_BYTES))


async def submit_change(
    connection: Connection,
    request: OperatorRequest,
    change: ChangeId,
    base: Generation | None = None,
) -> SendOutcome:
    """Send a change until its outcome is known or the retries run out.

    :param change: change id that the request carries.
    :param base: generation that must be in force for the change to apply;
        none: any.
    :return: the answer, or an answer made from the configuration in force
        where that names the change.
    """
    outcome = await send_to_entries(connection, request)
    was_unknown = is_outcome_unknown(outcome)
    for pause in RETRY_DELAYS_SECONDS:
        if not is_outcome_unknown(outcome):
            break
        was_unknown = True
        await asyncio.sleep(pause)
        settled = await find_accepted_change(connection, change)
        outcome = settled or await send_to_entries(connection, request)
    return _judge_outcome(outcome, change, base, was_unknown=was_unknown)


async def find_accepted_change(
    connection: Connection, change: ChangeId
) -> Answered | None:
    """Return the acceptance of a change if it made the configuration in force.

    :return: none where another change is in force or no document was read.
    """
    outcome = await send_to_entries(
        connection, OperatorRequest(path=CONFIGURATION_PATH)
    )
    if not isinstance(outcome, Answered) or outcome.status != STATUS_OK:
        return None
    try:
        document = msgspec.json.decode(outcome.body, type=ConfigurationDocument)
    except msgspec.DecodeError:
        return None
    if document.change == change:
        return _accept(outcome.entry, document)
    return None


def is_outcome_unknown(outcome: SendOutcome) -> bool:
    """Tell whether a change may have taken effect without confirmation."""
    if isinstance(outcome, AnswerLost):
        return True
    if isinstance(outcome, Unreached):
        return False
    if outcome.status in {STATUS_OK, STATUS_CONFLICT}:
        return False
    refusal = read_refusal(outcome)
    if refusal is None:
        return outcome.status >= MIN_SERVER_ERROR_STATUS
    return refusal.error.outcome is OutcomeKind.UNKNOWN


def _accept(entry: str, document: ConfigurationDocument) -> Answered:
    accepted = ChangeAccepted(
        generation=document.generation, change=document.change
    )
    return Answered(
        entry=entry, status=STATUS_OK, body=msgspec.json.encode(accepted)
    )


def _judge_outcome(
    outcome: SendOutcome,
    change: ChangeId,
    base: Generation | None,
    *,
    was_unknown: bool,
) -> SendOutcome:
    if isinstance(outcome, Unreached) and was_unknown:
        return AnswerLost(detail=outcome.detail)
    if isinstance(outcome, Answered) and outcome.status == STATUS_CONFLICT:
        return _judge_conflict(outcome, change, base, was_unknown=was_unknown)
    return outcome


def _judge_conflict(
    answer: Answered,
    change: ChangeId,
    base: Generation | None,
    *,
    was_unknown: bool,
) -> SendOutcome:
    try:
        conflict = msgspec.json.decode(answer.body, type=ChangeConflict)
    except msgspec.DecodeError:
        return answer
    if conflict.document is not None and conflict.document.change == change:
        return _accept(answer.entry, conflict.document)
    # A later change may have replaced this one after its acceptance, so the
    # conflict alone does not prove that the change was not run.
    replaced = base is None or conflict.generation > base + 1
    if was_unknown and replaced:
        return AnswerLost(
            detail=f'{answer.entry}: generation {conflict.generation} is in '
            f'force; change {change} may have been in force before it',
        )
    return answer
