"""The platform's stand-in: ``python -m fakes.platform --listen IP:PORT``.

It offers ``/table``, ``/objects``, ``/hosts`` and ``/origin``.
``PUT /faults/{table|objects|hosts}`` with ``{"fault": …, "seconds": …,
"times": …}`` makes one of them fail; ``{"fault": null}`` ends it.
"""

import dataclasses
import importlib.util

import click
import msgspec
from aiohttp import web

from fakes.faults import Fault, Faults
from fakes.memory_table import MemoryRows
from fakes.platform_objects import build_host_routes, build_object_routes
from fakes.platform_table import build_table_routes
from ragwortcourse.platform.hosts import HostRecord
from ragwortcourse.platform.objects import ObjectName

BODY_LIMIT_BYTES = 64 * 1024 * 1024


class FaultOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``PUT /faults/{service}``."""

    fault: Fault | None = None
    seconds: float = 0
    times: int | None = None


@dataclasses.dataclass(kw_only=True)
class Platform:
    """Everything the stand-in holds."""

    rows: MemoryRows = dataclasses.field(default_factory=MemoryRows)
    objects: dict[ObjectName, bytes] = dataclasses.field(default_factory=dict)
    records: list[HostRecord] = dataclasses.field(default_factory=list)
    table_faults: Faults = dataclasses.field(default_factory=Faults)
    object_faults: Faults = dataclasses.field(default_factory=Faults)
    host_faults: Faults = dataclasses.field(default_factory=Faults)


def build_platform_app(platform: Platform) -> web.Application:
    """The stand-in as one application."""
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
            *_build_origin_routes(),
            _build_fault_route(platform),
        ]
    )
    return app


def _build_origin_routes() -> list[web.RouteDef]:
    """The origin's routes, where that stand-in is there."""
    if importlib.util.find_spec('fakes.origin') is None:
        return []
    origin = importlib.import_module('fakes.origin')
    routes: list[web.RouteDef] = origin.build_origin_routes(
        store=origin.OriginStore()
    )
    return routes


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
def main(listen: str) -> None:
    """Run the platform's stand-in until it is told to stop."""
    host, _, port = listen.rpartition(':')

    async def build() -> web.Application:
        return build_platform_app(Platform())

    web.run_app(build(), host=host, port=int(port), print=None)


if __name__ == '__main__':
    main()
