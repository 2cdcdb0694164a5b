"""Metric and trace providers of this process."""

import dataclasses
from collections.abc import Callable

from opentelemetry import metrics, trace
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.resources import Resource

from ragwortcourse.settings import Settings
from ragwortcourse.telemetry.metrics_page import REGISTRY


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Telemetry:
    """Handle that shuts the providers down.

    :param shut_down: flushes pending metrics and spans, then stops the
        providers; blocks for up to some seconds, so call the function off
        the event loop.
    """

    shut_down: Callable[[], None]


def set_up_telemetry(settings: Settings) -> Telemetry:
    """Set the global metric and trace providers of this process.

    Metrics are always readable by Prometheus. OTLP export starts only if a
    collector is configured.

    :param settings: ``telemetry.otlp`` is the base URL of a collector.
    """
    resource = Resource.create(
        {
            'service.name': f'ragwortcourse-{settings.role}',
            'service.instance.id': settings.daemon,
            'ragwortcourse.failure_domain': settings.failure_domain,
        },
    )
    readers: list[MetricReader] = [
        PrometheusMetricReader(disable_target_info=True, registry=REGISTRY),
    ]
    shutdowns: list[Callable[[], object]] = []
    if settings.telemetry.otlp:
        # A local import, because the exporters cost memory.
        from ragwortcourse.telemetry import export  # noqa: WPS433

        readers.append(export.build_metric_reader(settings.telemetry.otlp))
        tracer_provider = export.build_tracer_provider(
            settings.telemetry.otlp, resource
        )
        trace.set_tracer_provider(tracer_provider)
        shutdowns.append(tracer_provider.shutdown)
    meter_provider = MeterProvider(metric_readers=readers, resource=resource)
    metrics.set_meter_provider(meter_provider)
    shutdowns.append(meter_provider.shutdown)

    def shut_down() -> None:
        for end in shutdowns:
            end()

    return Telemetry(shut_down=shut_down)
