"""Decodes answers of daemons; exits with the fitting code on failures."""

from typing import Final, TypeVar

import msgspec
from click.exceptions import Exit

from ragwortcourse.cli.connection import Connection
from ragwortcourse.cli.exit_code import ExitCode
from ragwortcourse.cli.operator_client import (
    Answered,
    OperatorRequest,
    SendOutcome,
    Unreached,
    run_client,
    send_to_entries,
)
from ragwortcourse.cli.output import Failure, report_failure
from ragwortcourse.messages.operator import ChangeConflict, OperatorErrorBody
from ragwortcourse.messages.outcome import OutcomeKind

STATUS_OK: Final = 200
STATUS_NO_CONTENT: Final = 204
MIN_SERVER_ERROR_STATUS: Final = 500
STATUS_CONFLICT: Final = 409

_Message = TypeVar('_Message')


def fetch_message(
    connection: Connection,
    request: OperatorRequest,
    kind: type[_Message],
    *,
    as_json: bool,
) -> _Message:
    """Send a request and return the message that answers it.

    :param kind: type of the message.
    :raises Exit: no such message came; the failure has been shown.
    """
    outcome = run_client(send_to_entries(connection, request))
    return require_message(outcome, kind, as_json=as_json)


def require_message(
    outcome: SendOutcome, kind: type[_Message], *, as_json: bool
) -> _Message:
    """Decode the message in a daemon's answer.

    :param kind: type of the message that an answer of status 200 carries.
    :raises Exit: there is no such message; the failure has been shown.
    """
    if not isinstance(outcome, Answered):
        raise report_no_answer(outcome, as_json=as_json)
    if outcome.status != STATUS_OK:
        raise report_daemon_refusal(outcome, as_json=as_json)
    try:
        return msgspec.json.decode(outcome.body, type=kind)
    except msgspec.DecodeError as error:
        raise report_failure(
            Failure(
                code='answer_malformed',
                message=f'{outcome.entry} sent an unreadable answer: {error}',
                outcome=OutcomeKind.UNKNOWN,
            ),
            ExitCode.UNKNOWN,
            as_json=as_json,
        ) from error


def report_no_answer(outcome: SendOutcome, *, as_json: bool) -> Exit:
    """Show that no daemon answered.

    :return: exception to raise.
    """
    detail = '' if isinstance(outcome, Answered) else outcome.detail
    if isinstance(outcome, Unreached):
        return report_failure(
            Failure(
                code='unreachable',
                message=f'no entry daemon was reached: {detail}',
                outcome=OutcomeKind.NOT_RUN,
            ),
            ExitCode.UNREACHABLE,
            as_json=as_json,
        )
    return report_failure(
        Failure(
            code='answer_lost',
            message=f'no entry daemon answered: {detail}',
            outcome=OutcomeKind.UNKNOWN,
        ),
        ExitCode.UNKNOWN,
        as_json=as_json,
    )


def require_success(outcome: SendOutcome, *, as_json: bool) -> None:
    """Check that a daemon carried a request out.

    :raises Exit: no daemon did; the failure has been shown.
    """
    if not isinstance(outcome, Answered):
        raise report_no_answer(outcome, as_json=as_json)
    if outcome.status not in {STATUS_OK, STATUS_NO_CONTENT}:
        raise report_daemon_refusal(outcome, as_json=as_json)


def report_daemon_refusal(answer: Answered, *, as_json: bool) -> Exit:
    """Show that a daemon refused a request.

    :return: exception to raise.
    """
    if answer.status == STATUS_CONFLICT:
        return _report_conflict(answer, as_json=as_json)
    refusal = read_refusal(answer)
    if refusal is None:
        return _report_status(answer, as_json=as_json)
    unknown = refusal.error.outcome is OutcomeKind.UNKNOWN
    return report_failure(
        Failure(
            code=refusal.error.code,
            message=refusal.error.message,
            outcome=refusal.error.outcome,
            findings=refusal.findings,
        ),
        ExitCode.UNKNOWN if unknown else ExitCode.REFUSED,
        as_json=as_json,
    )


def read_refusal(answer: Answered) -> OperatorErrorBody | None:
    """Decode the refusal in an answer; none where it holds no refusal."""
    try:
        return msgspec.json.decode(answer.body, type=OperatorErrorBody)
    except msgspec.DecodeError:
        return None


def _report_status(answer: Answered, *, as_json: bool) -> Exit:
    # A status below 500 without an error body means that no route handled
    # the request.
    unknown = answer.status >= MIN_SERVER_ERROR_STATUS
    outcome = OutcomeKind.UNKNOWN if unknown else OutcomeKind.NOT_RUN
    return report_failure(
        Failure(
            code=f'status_{answer.status}',
            message=f'{answer.entry} answered {answer.status}',
            outcome=outcome,
        ),
        ExitCode.UNKNOWN if unknown else ExitCode.REFUSED,
        as_json=as_json,
    )


def _report_conflict(answer: Answered, *, as_json: bool) -> Exit:
    try:
        conflict = msgspec.json.decode(answer.body, type=ChangeConflict)
    except msgspec.DecodeError:
        detail = 'another change went first'
    else:
        detail = f'another change went first: generation {conflict.generation}'
    return report_failure(
        Failure(
            code='conflict',
            message=f'{detail}; look at `ragwortcourse diff` and try again',
            outcome=OutcomeKind.NOT_RUN,
        ),
        ExitCode.CONFLICT,
        as_json=as_json,
    )
