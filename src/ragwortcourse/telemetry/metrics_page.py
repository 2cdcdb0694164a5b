"""The page that Prometheus reads."""

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import (
    CONTENT_TYPE_PLAIN_0_0_4,
    generate_latest,
)

METRICS_PATH = '/metrics'
REGISTRY = CollectorRegistry()


def build_metrics_route() -> web.RouteDef:
    """Route that shows every metric of this process."""
    return web.get(METRICS_PATH, answer_metrics)


async def answer_metrics(request: web.Request) -> web.Response:
    """Answer with every metric in Prometheus' text format."""
    return web.Response(
        body=generate_latest(REGISTRY),
        headers={'Content-Type': CONTENT_TYPE_PLAIN_0_0_4},
    )
