"""Operators' routes for request records and crashing requests."""

from typing import Final

from aiohttp import web

from ragwortcourse.entry.operator_answers import (
    UNAVAILABLE,
    answer_error,
    answer_message,
)
from ragwortcourse.entry.operator_state import OperatorContext
from ragwortcourse.identifiers import DaemonId, RequestId
from ragwortcourse.messages.peer_port import PeerUnavailable

NOT_FOUND: Final = 404
NO_CONTENT: Final = 204


async def get_request(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Return all decisions on a request, from the daemon named in its id."""
    name = RequestId(request.match_info['request'])
    record = operators.find_record(name)
    if record is not None:
        return answer_message(record)
    daemon = parse_daemon_id(name)
    if daemon == operators.settings.daemon:
        return _answer_absent(name)
    address = operators.membership.roster.peers.get(daemon)
    if address is None:
        return answer_error(
            NOT_FOUND, 'no_daemon', f'no daemon {daemon!r} is known here'
        )
    relayed = await operators.relay_record(address, name)
    if isinstance(relayed, PeerUnavailable):
        return answer_error(
            UNAVAILABLE, 'daemon_silent', f'{daemon}: {relayed.detail}'
        )
    if relayed is None:
        return _answer_absent(name)
    return answer_message(relayed)


async def get_crashers(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """List requests that are refused because they crash targets."""
    del request
    return answer_message(operators.list_crashers())


async def delete_crasher(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Release a crashing request, so that it may run again."""
    fingerprint = request.match_info['fingerprint']
    if operators.release_crasher(fingerprint):
        return web.Response(status=NO_CONTENT)
    return answer_error(
        NOT_FOUND, 'no_crasher', f'no crasher {fingerprint!r} is known here'
    )


def parse_daemon_id(request: RequestId) -> DaemonId:
    """Return the daemon of a request id of the form ``<daemon>-<hex>``."""
    return DaemonId(request.rpartition('-')[0])


def _answer_absent(request: RequestId) -> web.Response:
    return answer_error(
        NOT_FOUND,
        'no_record',
        f'no record of request {request!r}; the oldest are dropped first',
    )
