"""Translation of the platform's requests and answers."""

import logging
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from ragwortcourse.clock import read_clock
from ragwortcourse.entry.call_reader import HOP_HEADERS
from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.call import Call, PermittedCall
from ragwortcourse.forwarding.wire_format import Dispatch, WireFormat
from ragwortcourse.identifiers import AttemptId, TargetName
from ragwortcourse.platform import names
from ragwortcourse.platform.amounts import read_amount
from ragwortcourse.platform.load_figures import read_load
from ragwortcourse.platform.prompt_parts import read_shared_parts

SECONDS_PER_MILLISECOND: Final = 0.001
KEY_SCHEME: Final = 'Bearer '
# Values from callers are dropped; only the forwarder sets these headers.
OWN_HEADERS: Final = (
    'Authorization',
    'Content-Length',
    'Expect',
    names.DEADLINE,
    names.EXPECT_INSTANCE,
    names.EXPECT_VERSION,
    names.LAST_EVENT_ID,
    names.PRIORITY,
    names.TENANT,
)
MISDIRECTED: Final = 421
# Longest count of tokens that is read: no engine takes more of them.
TOKEN_DIGITS: Final = 9
YES: Final = '1'
NO: Final = '0'

LOGGER: Final = logging.getLogger(__name__)


def build_wire_format() -> WireFormat:
    """Build the translation of requests and answers."""
    return WireFormat(
        read_call=read_call,
        write_headers=write_headers,
        read_head=read_head,
    )


def read_call(request: web.Request) -> Call:
    """Read a caller's request without its body."""
    headers = CIMultiDict(request.headers)
    for name in OWN_HEADERS:
        headers.popall(name, None)
    _drop_hop_headers(headers)
    # Targets do not route by ``Host``, but get the caller's header unchanged.
    headers['Host'] = request.headers.get('Host', '')
    tokens = request.headers.get(names.TOKENS, '').partition(',')
    attempt = request.headers.get(names.ATTEMPT_ID)
    path, _, _ = request.raw_path.partition('?')
    return Call(
        attempt=None if attempt is None else AttemptId(attempt),
        method=request.method,
        host=request.headers.get('Host', '').partition(':')[0],
        path=path,
        path_and_query=request.raw_path,
        time_left=_read_milliseconds(request.headers, names.DEADLINE),
        key=_read_key(request.headers.get('Authorization', '')),
        prompt_tokens=_read_count(tokens[0]),
        answer_tokens=_read_count(tokens[2]),
        shared_parts=read_shared_parts(
            ','.join(request.headers.getall(names.PROMPT_PARTS, ()))
        ),
        last_event=request.headers.get(names.LAST_EVENT_ID),
        headers=headers,
        arrived_at=read_clock(),
        expected_tokens=_read_count(request.headers.get(names.LENGTH_HINT, ''))
        or None,
    )


def write_headers(work: PermittedCall, dispatch: Dispatch) -> CIMultiDict[str]:
    """Build the headers of the request to a target."""
    headers = work.call.headers.copy()
    headers[names.DEADLINE] = str(max(round(dispatch.time_left * 1000), 1))
    headers[names.EXPECT_INSTANCE] = dispatch.target.name
    if work.account is not None:
        headers[names.TENANT] = work.account.name
    if dispatch.last_event is not None:
        headers[names.LAST_EVENT_ID] = dispatch.last_event
    if dispatch.version is not None:
        headers[names.EXPECT_VERSION] = str(dispatch.version)
    if dispatch.rank is not None:
        headers[names.PRIORITY] = str(dispatch.rank)
    return headers


def read_head(
    status: int, received: Mapping[str, str], attempt: AttemptId | None
) -> AnswerHead:
    """Read the head of a target's answer."""
    headers = CIMultiDict(received)
    _drop_hop_headers(headers)
    named = received.get(names.ATTEMPT_ID)
    # An answer without an id is no other request's: a target has none to
    # repeat if it got none, and each connection carries one request.
    is_other = bool(named) and named != attempt
    refused = names.NOT_RUN in received or status == MISDIRECTED
    rate_limit = received.get(names.RATE_LIMIT)
    rate = None if rate_limit is None else _read_rate(rate_limit)
    stamped = names.STAMP in received
    instance = received.get(names.INSTANCE)
    return AnswerHead(
        status=status,
        ran=is_other or not refused,
        # Callers request no encoding, so an encoded body belongs to another
        # request.
        genuine=named == attempt
        and stamped
        and 'Content-Encoding' not in received,
        load=read_load(received.get(names.LOAD, '')),
        cold_seconds=_read_milliseconds(received, names.COLD),
        version=_read_version(received.get(names.VERSION, '')),
        headers=headers,
        rate_limit=rate,
        rate_limit_readable=rate_limit is None or rate is not None,
        rest_seconds=None if is_other else _read_rest(status, received),
        leaving=_read_leaving(received.get(names.LEAVING)),
        instance=None if instance is None else TargetName(instance),
    )


def _read_rest(status: int, received: Mapping[str, str]) -> float | None:
    text = received.get(names.RETRY_AFTER)
    if text is None or status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    seconds = read_amount(text)
    if seconds is None:
        LOGGER.warning(
            'unreadable time of rest of a target ignored',
            extra={'content': text},
        )
    return seconds


def _read_leaving(text: str | None) -> bool:
    if text is not None and text.strip() not in {YES, NO}:
        LOGGER.warning(
            'unreadable word of a target on its leaving ignored',
            extra={'content': text},
        )
    return text is not None and text.strip() == YES


def _read_rate(text: str) -> float | None:
    rate = read_amount(text)
    if rate is None:
        LOGGER.warning(
            'unreadable limit of a target ignored', extra={'content': text}
        )
    return rate


def _drop_hop_headers(headers: CIMultiDict[str]) -> None:
    listed = headers.popall('Connection', [])
    for name in ','.join(listed).split(','):
        headers.popall(name.strip(), None)
    for name in HOP_HEADERS:
        headers.popall(name, None)


def _read_key(authorization: str) -> str | None:
    if not authorization.startswith(KEY_SCHEME):
        return None
    return authorization.removeprefix(KEY_SCHEME).strip()


def _read_milliseconds(headers: Mapping[str, str], name: str) -> float | None:
    try:
        return float(headers[name]) * SECONDS_PER_MILLISECOND
    except (KeyError, ValueError):
        # Absent or unreadable values count as not given.
        return None


def _read_count(text: str) -> int:
    digits = text.strip()
    if not digits.isdecimal() or len(digits) > TOKEN_DIGITS:
        return 0
    return int(digits)


def _read_version(text: str) -> int | None:
    return int(text) if text.strip().isdecimal() else None
