"""Stand-in platform: ``python -m fakes.platform --listen IP:PORT``.

The routes are ``/table``, ``/objects``, ``/hosts`` and ``/origin``.
``PUT /faults/{table|objects|hosts}`` with ``{"fault": …, "seconds": …,
"times": …}`` makes one of them fail; ``{"fault": null}`` ends it.
"""

import pathlib

import click
import msgspec
from aiohttp import web

from fakes.faults import Fault
from fakes.origin import build_origin_routes
from fakes.platform_keeping import build_save_middleware, restore
from fakes.platform_objects import build_host_routes, build_object_routes
from fakes.platform_state import Platform
from fakes.platform_table import build_table_routes

BODY_LIMIT_BYTES = 64 * 1024 * 1024


class FaultOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``PUT /faults/{service}``."""

    fault: Fault | None = None
    seconds: float = 0
    times: int | None = None


def build_platform_app(platform: Platform) -> web.Application:
    """Build the HTTP application of the stand-in."""
    app = web.Application(client_max_size=BODY_LIMIT_BYTES)
    app.add_routes(
        [
            *build_table_routes(
                rows=platform.rows, faults=platform.table_faults
            ),
            *build_object_routes(
                objects=platform.objects, faults=platform.object_faults
            ),
            *build_host_routes(
                records=platform.records, faults=platform.host_faults
            ),
            *build_origin_routes(store=platform.origin),
            _build_fault_route(platform),
        ]
    )
    return app


def _build_fault_route(platform: Platform) -> web.RouteDef:
    switches = {
        'table': platform.table_faults,
        'objects': platform.object_faults,
        'hosts': platform.host_faults,
    }

    async def put_fault(request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=FaultOrder)
        switch = switches[request.match_info['service']]
        switch.set(order.fault, seconds=order.seconds, times=order.times)
        return web.Response(status=204)

    return web.put('/faults/{service:table|objects|hosts}', put_fault)


@click.command()
@click.option('--listen', required=True, help='ip:port')
@click.option(
    '--keep',
    type=click.Path(path_type=pathlib.Path),
    help='file that lasts over the death of this process',
)
def main(listen: str, keep: pathlib.Path | None) -> None:
    """Run the platform's stand-in until it is told to stop."""
    host, _, port = listen.rpartition(':')

    async def build() -> web.Application:
        platform = Platform()
        app = build_platform_app(platform)
        if keep is not None:
            restore(platform, keep)
            app.middlewares.append(build_save_middleware(platform, keep))
        return app

    web.run_app(build(), host=host, port=int(port), print=None)


if __name__ == '__main__':
    main()
