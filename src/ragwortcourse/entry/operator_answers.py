"""Answers of the operators' routes, and decoding of request bodies."""

import re
from typing import Final, TypeVar

import msgspec
from aiohttp import web

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.messages.error_body import ErrorDetail
from ragwortcourse.messages.operator import OperatorErrorBody
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.structure import collect_structure_findings

BAD_REQUEST: Final = 400
UNAVAILABLE: Final = 503
RETRY_SECONDS: Final = 2.0
ID_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
ID_RULE: Final = (
    'letters, digits, dot, dash, underscore; 1 to 128; a letter or digit first'
)

BodyType = TypeVar('BodyType', bound=msgspec.Struct)


def answer_message(message: object, status: int = 200) -> web.Response:
    """Build a JSON answer from a typed message."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(message),
        content_type='application/json',
    )


def answer_error(
    status: int,
    code: str,
    message: str,
    *,
    outcome: OutcomeKind = OutcomeKind.NOT_RUN,
    findings: tuple[Finding, ...] = (),
) -> web.Response:
    """Build an error answer.

    :param outcome: whether the requested work was done.
    :param findings: everything that is wrong with the request.
    """
    detail = ErrorDetail(
        code=code,
        message=message,
        outcome=outcome,
        retry_after=RETRY_SECONDS if status == UNAVAILABLE else None,
    )
    return answer_message(
        OperatorErrorBody(error=detail, findings=findings), status
    )


def answer_findings(findings: tuple[Finding, ...]) -> web.Response:
    """Build the 400 answer that lists all findings on a request."""
    return answer_error(
        BAD_REQUEST,
        'invalid',
        f'{len(findings)} findings',
        findings=findings,
    )


def read_message(
    body: bytes, kind: type[BodyType]
) -> BodyType | tuple[Finding, ...]:
    """Decode a body to a message, or return all findings on its structure."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return (_refuse_body(str(error)),)
    findings = collect_structure_findings(raw, kind)
    if findings:
        return findings
    try:
        return msgspec.convert(raw, kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        return (_refuse_body(str(error)),)


def check_id(place: str, text: str) -> tuple[Finding, ...]:
    """Check the form of an id or a name in an operator's request."""
    if ID_PATTERN.fullmatch(text):
        return ()
    return (
        Finding(
            place=place,
            value=repr(text[:60]),
            allowed=ID_RULE,
            message='malformed name',
        ),
    )


def _refuse_body(message: str) -> Finding:
    return Finding(place='(body)', value='', allowed='JSON', message=message)
