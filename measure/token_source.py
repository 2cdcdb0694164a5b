"""A minimal stand-in target that streams tokens.

Start with ``python -m measure.token_source --listen ADDRESS``. The body of a
request sets the number of tokens and the pause between them.
"""

import asyncio
from typing import Final

import click
import msgspec
from aiohttp import web

from ragwortcourse.messages import headers

TOKEN: Final = (
    b'data: {"choices":[{"index":0,"delta":{"content":" word"}}]}\n\n'
)
END: Final = b'data: [DONE]\n\n'


class StreamOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a request.

    :ivar tokens: number of tokens to send.
    :ivar pace: seconds between two tokens.
    """

    tokens: int
    pace: float = 0


async def describe(_: web.Request) -> web.Response:
    """Answer with the state of an idle target of capacity 512."""
    return web.json_response(
        {
            'instance': 'one',
            'running': 0,
            'bearable': 512,
            'age': 0,
            'versions': [],
        }
    )


async def stream(request: web.Request) -> web.StreamResponse:
    """Stream the requested tokens, each in a write of its own."""
    order = msgspec.json.decode(await request.read(), type=StreamOrder)
    response = web.StreamResponse()
    response.content_type = 'text/event-stream'
    attempt = request.headers.get(headers.REQUEST_ID)
    if attempt is not None:
        response.headers[headers.REQUEST_ID] = attempt
    await response.prepare(request)
    loop = asyncio.get_running_loop()
    began = loop.time()
    for number in range(order.tokens):
        await response.write(TOKEN)
        left = began + (number + 1) * order.pace - loop.time()
        if order.pace and left > 0:
            await asyncio.sleep(left)
    await response.write(END)
    await response.write_eof()
    return response


@click.command()
@click.option('--listen', required=True, help='ip:port')
def main(listen: str) -> None:
    """Serve until the process is stopped."""
    host, _, port = listen.rpartition(':')
    app = web.Application()
    app.add_routes(
        [
            web.get('/state', describe),
            web.route('*', '/{path:.*}', stream),
        ]
    )
    web.run_app(app, host=host, port=int(port), print=None)


if __name__ == '__main__':
    main()
