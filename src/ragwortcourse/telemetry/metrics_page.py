"""The metrics endpoint that Prometheus scrapes."""

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import (
    CONTENT_TYPE_PLAIN_0_0_4,
    generate_latest,
)

METRICS_PATH = '/metrics'
REGISTRY = CollectorRegistry()


def build_metrics_route() -> web.RouteDef:
    """Build the route that serves all metrics of this process."""
    return web.get(METRICS_PATH, answer_metrics)


async def answer_metrics(request: web.Request) -> web.Response:
    """Return all metrics in the Prometheus text format."""
    return web.Response(
        body=generate_latest(REGISTRY),
        headers={'Content-Type': CONTENT_TYPE_PLAIN_0_0_4},
    )
