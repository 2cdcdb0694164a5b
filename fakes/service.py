"""Stand-in plain service: ``python -m fakes.service --listen IP:PORT``.

The service answers any method on any path. ``GET /runs`` returns how often
a request with each ``Idempotency-Key`` ran.
"""

import click
from aiohttp import web

from fakes.engine import build_engine_app
from fakes.engine_load import EngineLoad
from fakes.memory_engine import MemoryEngine


@click.command()
@click.option('--listen', required=True, help='ip:port')
@click.option('--collector', default='', help='URL of a span collector')
@click.option('--latency', default=EngineLoad().latency, help='seconds')
def main(listen: str, collector: str, latency: float) -> None:
    """Run a stand-in plain service until it is told to stop."""
    host, _, port = listen.rpartition(':')

    async def build() -> web.Application:
        service = MemoryEngine(
            is_model_engine=False, load=EngineLoad(latency=latency)
        )
        return build_engine_app(service, collector=collector)

    web.run_app(build(), host=host, port=int(port), print=None)


if __name__ == '__main__':
    main()
