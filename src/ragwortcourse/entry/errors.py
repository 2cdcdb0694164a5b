"""Errors in the answers of entry daemons: codes, outcomes and statuses."""

from http import HTTPStatus
from typing import Final

from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.call import CallError
from ragwortcourse.messages.error_body import ErrorDetail
from ragwortcourse.messages.outcome import NotRun, OutcomeKind, Unknown

BARRED: Final = 'barred'
BAD_REQUEST: Final = 'bad_request'
BODY_TOO_LARGE: Final = 'body_too_large'
UNKNOWN_API_KEY: Final = 'unknown_api_key'
UNKNOWN_PATH: Final = 'unknown_path'
UNKNOWN_MODEL: Final = 'unknown_model'
UNKNOWN_SERVICE: Final = 'unknown_service'
NO_CONFIGURATION: Final = 'no_configuration'
DRAINING: Final = 'draining'
CRASHING_REQUEST: Final = 'crashing_request'
NO_TARGET: Final = 'no_target'
RETRIES_SPENT: Final = 'retries_spent'
DEADLINE_PASSED: Final = 'deadline_passed'
TARGET_UNREACHED: Final = 'target_unreached'
CLAIMS_UNAVAILABLE: Final = 'claims_unavailable'
KEY_REUSED: Final = 'idempotency_key_reused'
IN_PROGRESS: Final = 'in_progress'
OUTCOME_UNKNOWN: Final = 'outcome_unknown'
ANSWER_LOST: Final = 'answer_lost'
ANSWER_BROKEN: Final = 'answer_broken'
WRONG_VERSION: Final = 'wrong_version'
IN_PROGRESS_RETRY_SECONDS: Final = 1.0

STATUSES: Final = {
    BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    UNKNOWN_API_KEY: HTTPStatus.UNAUTHORIZED,
    UNKNOWN_PATH: HTTPStatus.NOT_FOUND,
    UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
    UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    CRASHING_REQUEST: HTTPStatus.UNPROCESSABLE_ENTITY,
    KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    IN_PROGRESS: HTTPStatus.CONFLICT,
    ANSWER_LOST: HTTPStatus.CONFLICT,
    DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    ANSWER_BROKEN: HTTPStatus.BAD_GATEWAY,
    WRONG_VERSION: HTTPStatus.BAD_GATEWAY,
}


def find_status(code: str) -> int:
    """Look up the HTTP status of an error code; 503 for temporary errors."""
    return STATUSES.get(code, HTTPStatus.SERVICE_UNAVAILABLE)


def build_error(
    request: RequestId,
    outcome: NotRun | Unknown,
    *,
    status: int | None = None,
) -> CallError:
    """Build the error for work that did not run or whose outcome is unknown.

    :param status: HTTP status that replaces the default of the code.
    """
    retry_after = None
    if isinstance(outcome, NotRun):
        retry_after = outcome.retry_after
    return CallError(
        status=status or find_status(outcome.code),
        error=ErrorDetail(
            code=outcome.code,
            message=outcome.detail,
            outcome=outcome.kind,
            request=request,
            retry_after=retry_after,
        ),
    )


def build_completed_error(
    request: RequestId, code: str, detail: str
) -> CallError:
    """Build the error for completed work whose answer is not available."""
    return CallError(
        status=find_status(code),
        error=ErrorDetail(
            code=code,
            message=detail,
            outcome=OutcomeKind.COMPLETED,
            request=request,
        ),
    )


def build_in_progress(request: RequestId) -> CallError:
    """Build the error for a repeated request whose original still runs."""
    return CallError(
        status=find_status(IN_PROGRESS),
        error=ErrorDetail(
            code=IN_PROGRESS,
            message='A request with this key is still under way.',
            outcome=OutcomeKind.UNKNOWN,
            request=request,
            retry_after=IN_PROGRESS_RETRY_SECONDS,
        ),
    )
