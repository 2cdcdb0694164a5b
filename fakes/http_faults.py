"""HTTP answers with simulated faults."""

from aiohttp import web

from fakes.faults import Fault, Faults

REFUSED_STATUS = 503


async def answer_with_fault(
    request: web.Request,
    body: bytes,
    faults: Faults,
    fault: Fault | None,
    status: int = 200,
) -> web.StreamResponse:
    """Answer with a body, or fail with the given fault.

    The caller has applied or skipped the effect of the request already.
    """
    await faults.wait()
    if fault is Fault.REFUSED:
        return web.Response(status=REFUSED_STATUS, body=body)
    if fault in {Fault.DOWN, Fault.ANSWER_LOST}:
        _cut(request)
    if fault is Fault.TRUNCATED:
        return await _answer_short(request, body)
    if fault is Fault.GARBAGE:
        return web.Response(body=b'\xff{garbage')
    response = web.Response(
        status=status, body=body, content_type='application/json'
    )
    response.enable_compression()
    return response


async def _answer_short(
    request: web.Request, body: bytes
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_length = len(body) + 1
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    _cut(request)
    return response


def _cut(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
