"""Providers of metrics and traces for this process."""

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
    """What is to be ended with the process.

    :param shut_down: send what is still held, then stop; blocks for up to
        some seconds, so call it off the event loop.
    """

    shut_down: Callable[[], None]


def set_up_telemetry(settings: Settings) -> Telemetry:
    """Count and trace from now on; export only where the settings say so.

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
    endings: list[Callable[[], object]] = []
    if settings.telemetry.otlp:
        # Imported only here: the exporters cost memory.
        from ragwortcourse.telemetry import export  # noqa: WPS433

        readers.append(export.build_metric_reader(settings.telemetry.otlp))
        tracer_provider = export.build_tracer_provider(
            settings.telemetry.otlp, resource
        )
        trace.set_tracer_provider(tracer_provider)
        endings.append(tracer_provider.shutdown)
    meter_provider = MeterProvider(metric_readers=readers, resource=resource)
    metrics.set_meter_provider(meter_provider)
    endings.append(meter_provider.shutdown)

    def shut_down() -> None:
        for end in endings:
            end()

    return Telemetry(shut_down=shut_down)
