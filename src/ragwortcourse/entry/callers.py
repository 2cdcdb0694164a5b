"""HTTP API for callers."""

import secrets
from typing import Final

import msgspec
from aiohttp import web
from opentelemetry import context, trace

from ragwortcourse.entry import errors
from ragwortcourse.entry.admission import check_readiness
from ragwortcourse.entry.answer_writer import write_answer, write_error
from ragwortcourse.entry.call_reader import BadCall, read_call
from ragwortcourse.entry.calls import serve_call
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.identifiers import DeploymentName, RequestId
from ragwortcourse.messages.call import CallError
from ragwortcourse.messages.outcome import NotRun
from ragwortcourse.telemetry.context import extract_context

TRACER: Final = trace.get_tracer(__name__)
_REQUEST_BYTES: Final = 8


class ModelEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One model in the answer of ``GET /v1/models``."""

    id: str
    object: str = 'model'
    owned_by: str = 'ragwortcourse'


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/models``."""

    data: tuple[ModelEntry, ...]
    object: str = 'list'


def build_caller_routes(*, entry: EntryState) -> list[web.RouteDef]:
    """Build the routes of the callers' port.

    The last route answers unknown paths, with the usual error body.
    """

    async def serve_model(request: web.Request) -> web.StreamResponse:
        return await answer_request(entry, request, None)

    async def serve_service(request: web.Request) -> web.StreamResponse:
        name = DeploymentName(request.match_info['service'])
        return await answer_request(entry, request, name)

    async def list_models(request: web.Request) -> web.StreamResponse:
        refusal = check_readiness(entry)
        if refusal is not None:
            error = errors.build_error(generate_request_id(entry), refusal)
            return await write_error(request, error)
        names = entry.catalog.models
        listed = ModelList(data=tuple(ModelEntry(id=name) for name in names))
        return web.Response(
            body=msgspec.json.encode(listed), content_type='application/json'
        )

    async def refuse_path(request: web.Request) -> web.StreamResponse:
        return await write_error(request, build_path_error(entry, request))

    return [
        web.post('/v1/chat/completions', serve_model),
        web.post('/v1/completions', serve_model),
        web.get('/v1/models', list_models),
        web.route('*', '/services/{service}', serve_service),
        web.route('*', '/services/{service}/{path:.*}', serve_service),
        web.route('*', '/{path:.*}', refuse_path),
    ]


def generate_request_id(entry: EntryState) -> RequestId:
    """Generate a request id that starts with this daemon's name."""
    number = secrets.token_hex(_REQUEST_BYTES)
    return RequestId(f'{entry.settings.daemon}-{number}')


def build_path_error(entry: EntryState, request: web.Request) -> CallError:
    """Build the error for a path or method without a route."""
    unknown = NotRun(
        code=errors.UNKNOWN_PATH,
        detail=f'There is no {request.method} {request.path!r}.',
    )
    return errors.build_error(generate_request_id(entry), unknown)


async def answer_request(
    entry: EntryState, request: web.Request, service: DeploymentName | None
) -> web.StreamResponse:
    """Read one call, serve it and write its answer or error."""
    name = generate_request_id(entry)
    parent = extract_context(request.headers)
    token = context.attach(parent)
    try:
        with TRACER.start_as_current_span('entry.call') as span:
            span.set_attribute('request', name)
            call = await read_call(request, name, service)
            if isinstance(call, BadCall):
                error = errors.build_error(name, call.refusal)
                return await write_error(request, error)
            outcome = await serve_call(entry, call)
            if isinstance(outcome, CallError):
                return await write_error(request, outcome)
            return await write_answer(request, outcome)
    finally:
        context.detach(token)
