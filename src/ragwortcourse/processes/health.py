"""``/healthz`` and ``/readyz``, off the callers' port."""

from collections.abc import Callable

from aiohttp import web


def build_health_routes(
    *, find_unready_reason: Callable[[], str | None]
) -> list[web.RouteDef]:
    """Routes by which the platform sees that a daemon lives and is ready.

    :param find_unready_reason: why the daemon takes no work now, none if it
        does.
    """

    async def answer_health(request: web.Request) -> web.Response:
        return web.json_response({'status': 'alive'})

    async def answer_readiness(request: web.Request) -> web.Response:
        obstacle = find_unready_reason()
        if obstacle is None:
            return web.json_response({'status': 'ready'})
        return web.json_response(
            {'status': 'not ready', 'reason': obstacle},
            status=web.HTTPServiceUnavailable.status_code,
        )

    return [
        web.get('/healthz', answer_health),
        web.get('/readyz', answer_readiness),
    ]
