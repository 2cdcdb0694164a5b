"""Sending of one request to one target and reading of the answer."""

import dataclasses
import errno
import logging
import socket
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
from yarl import URL

from ragwortcourse.bodies import is_framed
from ragwortcourse.client_session import open_session
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.call import PermittedCall
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.target_connection import TargetConnector
from ragwortcourse.forwarding.wire_format import Dispatch, WireFormat
from ragwortcourse.ingress.answers import hold_answer

LOGGER: Final = logging.getLogger(__name__)
# Several round trips between the most distant failure domains.
CONNECT_SECONDS: Final = 0.3
# A connection that ends this long after its limit has waited for the event
# loop, which sees the end of the limit before the connection itself.
PAUSE_SECONDS: Final = 0.05
# The kernel drops a connection whose sent data stays unacknowledged for this
# long.
UNACKNOWLEDGED_MS: Final = 2000
# Targets may add headers to those that callers are allowed to send.
HEADER_BYTES: Final = 65_536
# Targets cut an answer that is not read for some seconds.
UNREAD_SECONDS: Final = 1.0
# Part of an answer that waits for its caller, in the kernel and in aiohttp,
# which reads up to twice as much before it stops reading from the target.
# Pieces of 256 KB, as the kernel delivers them otherwise, took 0.8 MB a stream.
READ_BUFFER_BYTES: Final = 65_536
# Longest body of an answer that is read whole, the same as of a caller's
# request.
BODY_BYTES: Final = 4_194_304
SKIPPED_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """Failed connection: the target can't have run the request.

    :param refused: true if nothing listens at the address.
    :param timed_out: true if the connection was not open within its limit.
    """

    detail: str
    refused: bool
    timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer:
    """Missing answer to a sent request: whether it ran is unknown.

    :param cause: why there is no answer.
    """

    detail: str
    cause: LossCause


class OpenAnswer:
    """Answer of a target whose body has not been read yet."""

    def __init__(
        self, *, head: AnswerHead, response: aiohttp.ClientResponse
    ) -> None:
        self.head = head
        self._response = response

    @property
    def is_framed(self) -> bool:
        """Tell whether the end of the body is known from the answer."""
        return is_framed(self._response.headers)

    async def read_pieces(
        self, *, is_unread: bool = False
    ) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :param is_unread: true if the body was not read for long.
        :raises AnswerCutError: the connection ended before the body did.
        """
        try:
            async for piece in self._response.content.iter_any():
                yield piece
        except (aiohttp.ClientError, OSError) as error:
            cause = LossCause.UNREAD if is_unread else LossCause.CUT
            raise AnswerCutError(repr(error), cause=cause) from error

    async def read_whole(self) -> bytes:
        """Read the whole body, once there is room for it.

        :raises AnswerCutError: the connection ended before the body did, or
            the body is longer than ``BODY_BYTES``.
        """
        body = bytearray()
        length = self._response.headers.get('Content-Length', '')
        held = min(int(length), BODY_BYTES) if length.isdecimal() else 0
        began_at = read_clock()
        await hold_answer(held)
        is_unread = read_clock() - began_at >= UNREAD_SECONDS
        async for piece in self.read_pieces(is_unread=is_unread):
            body += piece
            if len(body) > held:
                await hold_answer(len(body) - held)
                held = len(body)
            if len(body) > BODY_BYTES:
                raise AnswerCutError(
                    f'body longer than {BODY_BYTES} bytes',
                    cause=LossCause.INVALID,
                )
        return bytes(body)

    def close(self) -> None:
        """Close the connection, which cancels the request at the target."""
        self._response.close()


def open_target_session() -> aiohttp.ClientSession:
    """Open a session whose connections each carry one request.

    A reused connection may be dead, or may deliver a late answer to another
    request. A new connection costs one round trip.
    """
    connector = TargetConnector(
        limit=0, force_close=True, socket_factory=_open_socket
    )
    return open_session(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        max_line_size=HEADER_BYTES,
        max_field_size=HEADER_BYTES,
        read_bufsize=READ_BUFFER_BYTES,
    )


def _open_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    opened = socket.socket(family=info[0], type=info[1], proto=info[2])
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES)
    return opened


async def send_request(
    *,
    session: aiohttp.ClientSession,
    wire: WireFormat,
    work: PermittedCall,
    dispatch: Dispatch,
) -> OpenAnswer | NotSent | NoAnswer:
    """Send a request to a target and read the head of the answer.

    Where the event loop pauses while the connection opens, a second one is
    opened: the first says nothing about the target. Cancellation closes the
    connection.
    """
    began_at = read_clock()
    answer = await _send_once(session, wire, work, dispatch)
    took = read_clock() - began_at
    time_left = dispatch.time_left - took
    is_paused = took > CONNECT_SECONDS + PAUSE_SECONDS and time_left > 0
    if not isinstance(answer, NotSent) or not answer.timed_out or not is_paused:
        return answer
    LOGGER.info(
        'event loop paused while a connection opened; opening another one',
        extra={
            'request': work.call.attempt,
            'target': dispatch.target.name,
            'seconds': took,
        },
    )
    return await _send_once(
        session, wire, work, dataclasses.replace(dispatch, time_left=time_left)
    )


async def _send_once(
    session: aiohttp.ClientSession,
    wire: WireFormat,
    work: PermittedCall,
    dispatch: Dispatch,
) -> OpenAnswer | NotSent | NoAnswer:
    if session.closed:
        return NotSent(detail='the daemon ends', refused=False)
    call = work.call
    url = URL(
        f'http://{dispatch.target.address}{call.path_and_query}', encoded=True
    )
    try:
        response = await session.request(
            call.method,
            url,
            headers=wire.write_headers(work, dispatch),
            data=work.body or None,
            allow_redirects=False,
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        return NotSent(
            detail=repr(error),
            refused=isinstance(error, OSError)
            and error.errno == errno.ECONNREFUSED,
            timed_out=isinstance(error, aiohttp.ConnectionTimeoutError),
        )
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return NoAnswer(detail=repr(error), cause=_read_cause(error))
    head = wire.read_head(response.status, response.headers, call.attempt)
    return OpenAnswer(head=head, response=response)


def _read_cause(error: Exception) -> LossCause:
    if isinstance(error, TimeoutError):
        return LossCause.SILENCE
    if isinstance(error, aiohttp.ClientResponseError):
        return LossCause.INVALID
    return LossCause.CUT
