"""HTTP routes of the stand-in object store and list of hosts."""

import hashlib

import msgspec
from aiohttp import web

from fakes.faults import Fault, Faults
from fakes.http_faults import answer_with_fault
from ragwortcourse.membership.hosts import HostRecord
from ragwortcourse.storage.objects import ObjectName


def build_object_routes(
    *,
    objects: dict[ObjectName, bytes],
    faults: Faults,
    prefix: str = '/objects',
) -> list[web.RouteDef]:
    """Build the routes that read and write shared objects."""

    async def get_object(request: web.Request) -> web.StreamResponse:
        content = objects.get(ObjectName(request.match_info['name']))
        status = 404 if content is None else 200
        return await answer_with_fault(
            request, content or b'', faults, faults.take(), status
        )

    async def put_object(request: web.Request) -> web.StreamResponse:
        content = await request.read()
        fault = faults.take()
        if fault not in {Fault.REFUSED, Fault.DOWN}:
            objects[ObjectName(request.match_info['name'])] = content
        return await answer_with_fault(request, b'', faults, fault, 201)

    return [
        web.get(prefix + '/{name:.+}', get_object),
        web.put(prefix + '/{name:.+}', put_object),
    ]


def build_host_routes(
    *, records: list[HostRecord], faults: Faults, prefix: str = '/hosts'
) -> list[web.RouteDef]:
    """Build the routes of the list of hosts.

    The list has an ``ETag``, so an unchanged list is answered without a
    body. Tests replace the list by ``PUT`` to move hosts.
    """

    async def get_hosts(request: web.Request) -> web.StreamResponse:
        body = msgspec.json.encode(records)
        tag = hashlib.sha256(body).hexdigest()
        fault = faults.take()
        if fault is None and request.headers.get('if-none-match') == tag:
            return web.Response(status=304)
        answer = await answer_with_fault(request, body, faults, fault)
        if not answer.prepared:
            answer.headers['etag'] = tag
        return answer

    async def put_hosts(request: web.Request) -> web.StreamResponse:
        records[:] = msgspec.json.decode(
            await request.read(), type=list[HostRecord]
        )
        return web.Response(status=204)

    return [web.get(prefix, get_hosts), web.put(prefix, put_hosts)]
