"""HTTP client sessions that send each request once.

Load pattern: a server runs a request, and its connection ends before the
answer. aiohttp sends requests of idempotent methods again by itself, so that a
change runs twice, and a crash of the server looks like a failed connection.
"""

import logging
from contextvars import ContextVar
from typing import Any, Final

import aiohttp
from opentelemetry.metrics import get_meter

from ragwortcourse.connections import ResetConnector

# Reads that this module may repeat.
READ_METHODS: Final = frozenset(('GET', 'HEAD'))

REPEATED: Final = get_meter(__name__).create_counter(
    'ragwortcourse.http.repeated_reads'
)
LOGGER: Final = logging.getLogger(__name__)

_is_reused: ContextVar[bool] = ContextVar('is_reused', default=False)


class LostAnswerError(aiohttp.ClientConnectionError):
    """Connection that ended before the answer to a request that was sent.

    It is neither of the errors after which aiohttp sends a request again.
    """


def open_session(
    *,
    connector: aiohttp.BaseConnector | None = None,
    repeats_reads: bool = False,
    **options: Any,  # passed on as they are
) -> aiohttp.ClientSession:
    """Open a session that sends each request once.

    :param connector: a new :class:`ResetConnector` if absent.
    :param repeats_reads: send a read once more whose answer is lost on a
        connection that was in use before: its server may have closed it while
        the read was sent. Only for reads whose age is counted from the call.
    :param options: other parameters of ``aiohttp.ClientSession``.
    """
    return aiohttp.ClientSession(
        connector=connector or ResetConnector(),
        middlewares=(_repeat_read if repeats_reads else _send_once,),
        trace_configs=[_build_trace()],
        **options,
    )


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Replace the errors after which aiohttp sends a request again."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LostAnswerError(repr(error)) from error


async def _repeat_read(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request, and a read again that a kept connection has lost."""
    _is_reused.set(False)
    try:
        return await _send_once(request, handler)
    except LostAnswerError as error:
        if request.method not in READ_METHODS or not _is_reused.get():
            raise
        REPEATED.add(1)
        LOGGER.info(
            'answer lost on a kept connection; repeating the read',
            extra={'url': str(request.url), 'detail': str(error)},
        )
    return await _send_once(request, handler)


def _build_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_note_reused)
    return trace


async def _note_reused(*_: object) -> None:
    _is_reused.set(True)
