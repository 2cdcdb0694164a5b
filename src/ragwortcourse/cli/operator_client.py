"""Asks entry daemons on behalf of an operator."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import Final
from urllib.parse import quote

import aiohttp
import msgspec

from ragwortcourse.cli.connection import Connection

CONNECT_TIMEOUT_SECONDS: Final = 3.0
UNREACHED: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.InvalidURL,
    aiohttp.NonHttpUrlClientError,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorRequest:
    """One request to the operators' routes.

    Sending one again is harmless: it only reads, or carries a change id.
    """

    path: str
    method: str = 'GET'
    body: msgspec.Struct | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A daemon's answer.

    :param entry: base URL of the daemon.
    """

    entry: str
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unreached:
    """The question reached no daemon."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerLost:
    """The question was sent and no answer came from any daemon."""

    detail: str


SendOutcome = Answered | Unreached | AnswerLost


async def send_to_entries(
    connection: Connection, question: OperatorRequest
) -> SendOutcome:
    """Answer of the first entry daemon that gives one.

    :param connection: entry daemons in the order in which to ask them.
    """
    timeout = aiohttp.ClientTimeout(
        total=connection.timeout,
        sock_connect=min(CONNECT_TIMEOUT_SECONDS, connection.timeout),
    )
    failures: list[Unreached | AnswerLost] = []
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for entry in connection.entries:
            outcome = await _ask_entry(session, connection, entry, question)
            if isinstance(outcome, Answered):
                return outcome
            failures.append(outcome)
    detail = '; '.join(failure.detail for failure in failures)
    if any(isinstance(failure, AnswerLost) for failure in failures):
        return AnswerLost(detail=detail)
    return Unreached(detail=detail)


def quote_name(name: str) -> str:
    """A name as one segment of a path."""
    return quote(name, safe='')


def run_client(work: Coroutine[object, object, SendOutcome]) -> SendOutcome:
    """Run one question to its end."""
    return asyncio.run(work)


async def _ask_entry(
    session: aiohttp.ClientSession,
    connection: Connection,
    entry: str,
    question: OperatorRequest,
) -> SendOutcome:
    content = None
    if question.body is not None:
        content = msgspec.json.encode(question.body)
    try:
        async with session.request(
            question.method,
            f'{entry}{question.path}',
            data=content,
            headers={
                'Authorization': f'Bearer {connection.token}',
                'Content-Type': 'application/json',
            },
        ) as response:
            return Answered(
                entry=entry,
                status=response.status,
                body=await response.read(),
            )
    except UNREACHED as error:
        return Unreached(detail=f'{entry}: {error}')
    except aiohttp.ConnectionTimeoutError:
        return Unreached(detail=f'{entry}: no connection in time')
    except (aiohttp.ClientError, TimeoutError) as error:
        return AnswerLost(detail=f'{entry}: {error or "no answer in time"}')
