"""Routes ``/healthz`` and ``/readyz`` of the watch port."""

from collections.abc import Callable

from aiohttp import web


def build_health_routes(
    *, find_unready_reason: Callable[[], str | None]
) -> list[web.RouteDef]:
    """Build the routes for the platform's liveness and readiness checks.

    :param find_unready_reason: returns why the daemon accepts no new work,
        none if work is accepted.
    """

    async def answer_health(request: web.Request) -> web.Response:
        return web.json_response({'status': 'alive'})

    async def answer_readiness(request: web.Request) -> web.Response:
        unready_reason = find_unready_reason()
        if unready_reason is None:
            return web.json_response({'status': 'ready'})
        return web.json_response(
            {'status': 'not ready', 'reason': unready_reason},
            status=web.HTTPServiceUnavailable.status_code,
        )

    return [
        web.get('/healthz', answer_health),
        web.get('/readyz', answer_readiness),
    ]
