"""Authorization of the operators' routes."""

import functools
import hashlib
import hmac
import logging
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web
from opentelemetry import metrics, trace

from ragwortcourse.entry.operator_answers import answer_error
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.settings import Settings

LOGGER = logging.getLogger(__name__)
METER = metrics.get_meter(__name__)
TRACER = trace.get_tracer(__name__)
REQUESTS = METER.create_counter('ragwortcourse.operators.requests')
REFUSED = METER.create_counter('ragwortcourse.operators.refused')

BEARER_PREFIX: Final = 'Bearer '
UNAUTHORIZED: Final = 401
TOO_LARGE: Final = 413
INTERNAL: Final = 500

Handler = Callable[[web.Request], Awaitable[web.Response]]


def holds_token(settings: Settings, authorization: str) -> bool:
    """Tell whether an authorization header carries an operator's token."""
    if settings.entry is None or not authorization.startswith(BEARER_PREFIX):
        return False
    token = authorization.removeprefix(BEARER_PREFIX).encode(errors='replace')
    digest = hashlib.sha256(token).hexdigest()
    return any(
        hmac.compare_digest(digest, known)
        for known in settings.entry.operator_key_sha256
    )


def guard_route(settings: Settings, handler: Handler) -> Handler:
    """Wrap a handler so that it serves operators only, with JSON errors."""

    @functools.wraps(handler)
    async def guarded(request: web.Request) -> web.Response:
        REQUESTS.add(1)
        if not holds_token(settings, request.headers.get('authorization', '')):
            REFUSED.add(1)
            return answer_error(
                UNAUTHORIZED, 'unauthorized', 'no token of an operator'
            )
        with TRACER.start_as_current_span(f'operator {request.path}'):
            return await _run_handler(handler, request)

    return guarded


async def _run_handler(handler: Handler, request: web.Request) -> web.Response:
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge as error:
        return answer_error(TOO_LARGE, 'too_large', str(error.text))
    except web.HTTPException:
        raise
    except Exception:
        LOGGER.exception('operator route failed', extra={'path': request.path})
        return answer_error(
            INTERNAL,
            'internal',
            'the daemon failed on this request',
            outcome=OutcomeKind.UNKNOWN,
        )
