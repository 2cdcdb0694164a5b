"""The operators' routes of an entry daemon."""

import functools
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from ragwortcourse.entry import (
    operator_changes,
    operator_requests,
    operator_status,
)
from ragwortcourse.entry.operator_access import guard_route
from ragwortcourse.entry.operator_state import OperatorContext

PREFIX: Final = '/operator'

Action = Callable[[OperatorContext, web.Request], Awaitable[web.Response]]


def build_operator_routes(*, operators: OperatorContext) -> list[web.RouteDef]:
    """Build all routes of the operators' port."""
    reads: dict[str, Action] = {
        '/configuration': operator_status.get_configuration,
        '/status': operator_status.get_status,
        '/replicas/{deployment}': operator_status.get_replicas,
        '/requests/{request}': operator_requests.get_request,
        '/crashers': operator_requests.get_crashers,
    }
    writes: dict[str, Action] = {
        '/configuration': operator_changes.post_configuration,
        '/withdrawals': operator_changes.post_withdrawal,
        '/returns': operator_changes.post_return,
        '/weights/cancel': operator_changes.post_cancellation,
    }
    release = _bind_action(operators, operator_requests.delete_crasher)
    return [
        *(
            web.get(f'{PREFIX}{path}', _bind_action(operators, action))
            for path, action in reads.items()
        ),
        *(
            web.post(f'{PREFIX}{path}', _bind_action(operators, action))
            for path, action in writes.items()
        ),
        web.delete(f'{PREFIX}/crashers/{{fingerprint}}', release),
    ]


def _bind_action(
    operators: OperatorContext, action: Action
) -> Callable[[web.Request], Awaitable[web.Response]]:
    return guard_route(operators.settings, functools.partial(action, operators))
