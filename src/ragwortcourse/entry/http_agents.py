"""HTTP client for agents."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, TypeVar

import aiohttp
import msgspec

from ragwortcourse.agent.attempt_codec import encode_attempt
from ragwortcourse.bodies import SMALL_BODY_BYTES, read_body
from ragwortcourse.decoding import decode_json
from ragwortcourse.entry.relayed_body import FAILURES, RelayedBody
from ragwortcourse.identifiers import AttemptId, Generation, VersionName
from ragwortcourse.messages import headers
from ragwortcourse.messages.attempt import (
    Attempt,
    AttemptAnswer,
    AttemptLost,
    AttemptOutcome,
    AttemptRefused,
    AttemptUnreached,
)
from ragwortcourse.messages.attempt_report import AttemptReport
from ragwortcourse.messages.error_body import ErrorBody
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.outcome import NotRun, OutcomeKind, Unknown
from ragwortcourse.messages.peer_port import (
    BAR_TIMEOUT_SECONDS,
    AgentPort,
    PeerUnavailable,
)
from ragwortcourse.messages.target_status import ServedVersion, TargetStatus
from ragwortcourse.unreadable import UnreadableError

CONNECT_SECONDS: Final = 1.0
HEARTBEAT_SECONDS: Final = 1.0
_MILLISECONDS: Final = 1000
_ATTEMPT_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=None, connect=CONNECT_SECONDS, sock_connect=CONNECT_SECONDS
)
_BAR_TIMEOUT: Final = aiohttp.ClientTimeout(total=BAR_TIMEOUT_SECONDS)
_HEARTBEAT_TIMEOUT: Final = aiohttp.ClientTimeout(total=HEARTBEAT_SECONDS)
_ASK_FAILURES: Final = (*FAILURES, UnicodeError)
_READ_FAILURES: Final = (*FAILURES, UnreadableError)
# The last two are raised for addresses that can't be one, before sending.
UNREACHED: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
    UnicodeError,
)
Kind = TypeVar('Kind', AttemptReport, TargetStatus)


def build_http_agents(*, session: aiohttp.ClientSession) -> AgentPort:
    """Build the port that reaches agents over HTTP by their ``ip:port``.

    Connections are kept. An answer that names another attempt tells nothing
    about the sent one; agents of earlier releases name none.

    :param session: HTTP session that must not decompress answers, because
        answers are relayed unchanged.
    """

    async def start(address: str, attempt: Attempt) -> AttemptOutcome:
        try:
            answer = await session.post(
                f'http://{address}/attempts/{attempt.attempt}',
                data=attempt.body,
                headers=encode_attempt(attempt),
                timeout=_ATTEMPT_TIMEOUT,
                allow_redirects=False,
            )
        except UNREACHED:
            return AttemptUnreached(detail=f'no connection to {address}')
        except FAILURES as error:
            return AttemptLost(detail=f'{address}: {error!r}')
        named = answer.headers.get(headers.ATTEMPT_ID, attempt.attempt)
        if named != attempt.attempt:
            answer.close()
            return AttemptLost(detail=f'{address}: answer to {named}')
        return await read_answer(answer)

    async def bar(
        address: str, attempt: AttemptId, age: float
    ) -> AttemptReport | PeerUnavailable:
        report = await _ask(
            session,
            f'http://{address}/attempts/{attempt}/bar',
            fields={headers.AGE_MS: str(round(age * _MILLISECONDS))},
            timeout=_BAR_TIMEOUT,
            kind=AttemptReport,
        )
        if isinstance(report, AttemptReport) and report.attempt != attempt:
            return PeerUnavailable(
                detail=f'{address}: report on {report.attempt}'
            )
        return report

    async def heartbeat(
        address: str, message: Heartbeat
    ) -> TargetStatus | PeerUnavailable:
        return await _ask(
            session,
            f'http://{address}/status',
            content=msgspec.json.encode(message),
            timeout=_HEARTBEAT_TIMEOUT,
            kind=TargetStatus,
        )

    return AgentPort(start=start, bar=bar, heartbeat=heartbeat)


async def read_answer(answer: aiohttp.ClientResponse) -> AttemptOutcome:
    """Read the headers of an agent's answer into an outcome.

    The body of a refusal is read too; any other body is left to stream.
    """
    fields = answer.headers
    spare = int(fields.get(headers.SPARE, '0'))
    generation = Generation(int(fields.get(headers.GENERATION, '0')))
    if headers.ERROR_CODE in fields and headers.OUTCOME in fields:
        return await _read_refusal(answer, spare, generation)
    version = fields.get(headers.MODEL_VERSION)
    return AttemptAnswer(
        status=answer.status,
        headers={
            name.lower(): field
            for name, field in fields.items()
            if not name.lower().startswith(headers.OWN_PREFIX)
        },
        body=RelayedBody(answer=answer),
        spare=spare,
        generation=generation,
        version=VersionName(version) if version else None,
    )


async def _read_refusal(
    answer: aiohttp.ClientResponse, spare: int, generation: Generation
) -> AttemptOutcome:
    try:
        raw = await read_body(answer, limit=SMALL_BODY_BYTES)
        error = decode_json(raw, ErrorBody).error
    except _READ_FAILURES as failure:
        return AttemptLost(detail=f'refusal could not be read: {failure!r}')
    outcome: NotRun | Unknown
    if error.outcome is OutcomeKind.NOT_RUN:
        outcome = NotRun(
            code=error.code,
            detail=error.message,
            retry_after=error.retry_after,
        )
    else:
        outcome = Unknown(code=error.code, detail=error.message)
    return AttemptRefused(
        status=answer.status,
        outcome=outcome,
        spare=spare,
        generation=generation,
        suspect=answer.headers.get(headers.SUSPECT) == '1',
        served=_read_served(answer.headers.get(headers.SERVED)),
    )


def _read_served(text: str | None) -> tuple[ServedVersion, ...] | None:
    if text is None:
        return None
    try:
        return decode_json(
            text.encode(errors='surrogateescape'), tuple[ServedVersion, ...]
        )
    except UnreadableError:
        return None


async def _ask(
    session: aiohttp.ClientSession,
    url: str,
    *,
    timeout: aiohttp.ClientTimeout,
    kind: type[Kind],
    fields: Mapping[str, str] | None = None,
    content: bytes = b'',
) -> Kind | PeerUnavailable:
    try:
        async with session.post(
            url, data=content, headers=fields, timeout=timeout
        ) as answer:
            raw = await read_body(answer, limit=SMALL_BODY_BYTES)
            status = answer.status
    except _ASK_FAILURES as error:
        return PeerUnavailable(detail=f'{url}: {error!r}')
    if status != HTTPStatus.OK:
        return PeerUnavailable(detail=f'{url}: status {status}')
    try:
        return decode_json(raw, kind)
    except UnreadableError as error:
        return PeerUnavailable(detail=f'{url}: {error}')
