"""HTTP client for the operators' routes of entry daemons."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import Final
from urllib.parse import quote

import aiohttp
import msgspec

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.cli.connection import Connection
from ragwortcourse.client_session import open_session

CONNECT_TIMEOUT_SECONDS: Final = 3.0
CONNECT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.InvalidURL,
    aiohttp.NonHttpUrlClientError,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorRequest:
    """One request to the operators' routes.

    Sending a request again is harmless: the request only reads, or carries a
    change id that makes it idempotent.

    :param path: path with query, appended to the base URL of the daemon.
    :param body: message sent as JSON; none: an empty body.
    """

    path: str
    method: str = 'GET'
    body: msgspec.Struct | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """Answer of a daemon, of any status.

    :param entry: base URL of the daemon.
    :param status: HTTP status.
    :param body: raw body.
    """

    entry: str
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unreached:
    """The request was sent to no daemon, as no connection was made.

    :param detail: reason for each daemon, for people.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerLost:
    """The request was sent and no daemon answered; the outcome is unknown.

    :param detail: reason for each daemon, for people.
    """

    detail: str


SendOutcome = Answered | Unreached | AnswerLost


async def send_to_entries(
    connection: Connection, request: OperatorRequest
) -> SendOutcome:
    """Send a request to one entry daemon after another until one answers.

    :param connection: entry daemons in the order in which to try them.
    :return: the first answer; without one, whether the request may have
        reached a daemon.
    """
    timeout = aiohttp.ClientTimeout(
        total=connection.timeout,
        sock_connect=min(CONNECT_TIMEOUT_SECONDS, connection.timeout),
    )
    failures: list[Unreached | AnswerLost] = []
    async with open_session(timeout=timeout) as session:
        for entry in connection.entries:
            outcome = await _send_to_entry(session, connection, entry, request)
            if isinstance(outcome, Answered):
                return outcome
            failures.append(outcome)
    detail = '; '.join(failure.detail for failure in failures)
    if any(isinstance(failure, AnswerLost) for failure in failures):
        return AnswerLost(detail=detail)
    return Unreached(detail=detail)


def quote_name(name: str) -> str:
    """Quote a name for use as one segment of a URL path."""
    return quote(name, safe='')


def run_client(work: Coroutine[object, object, SendOutcome]) -> SendOutcome:
    """Run a coroutine that sends a request, and return its outcome."""
    return asyncio.run(work)


async def _send_to_entry(
    session: aiohttp.ClientSession,
    connection: Connection,
    entry: str,
    request: OperatorRequest,
) -> SendOutcome:
    content = None
    if request.body is not None:
        content = msgspec.json.encode(request.body)
    try:
        async with session.request(
            request.method,
            f'{entry}{request.path}',
            data=content,
            headers={
                'Authorization': f'Bearer {connection.token}',
                'Content-Type': 'application/json',
            },
        ) as response:
            return Answered(
                entry=entry,
                status=response.status,
                body=await read_body(response, limit=LARGE_BODY_BYTES),
            )
    except CONNECT_ERRORS as error:
        return Unreached(detail=f'{entry}: {error}')
    except aiohttp.ConnectionTimeoutError:
        return Unreached(detail=f'{entry}: connection timed out')
    except (aiohttp.ClientError, TimeoutError) as error:
        return AnswerLost(detail=f'{entry}: {error or "no answer in time"}')
