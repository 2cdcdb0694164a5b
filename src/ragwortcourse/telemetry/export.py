"""Export of metrics and spans over OTLP/HTTP.

Imported only if a collector is configured: the exporters cost memory.
"""

from typing import Final

from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
    OTLPMetricExporter,
)
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.metrics.export import (
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor

EXPORT_TIMEOUT_SECONDS: Final = 5
METRICS_PERIOD_MS: Final = 60_000
SPANS_PERIOD_MS: Final = 2000


def build_metric_reader(otlp: str) -> MetricReader:
    """Build a reader that exports metrics once a minute.

    :param otlp: base URL of the collector.
    """
    exporter = OTLPMetricExporter(
        endpoint=f'{otlp.rstrip("/")}/v1/metrics',
        timeout=EXPORT_TIMEOUT_SECONDS,
    )
    return PeriodicExportingMetricReader(
        exporter, export_interval_millis=METRICS_PERIOD_MS
    )


def build_tracer_provider(otlp: str, resource: Resource) -> TracerProvider:
    """Build a tracer provider that exports spans in batches.

    :param otlp: base URL of the collector.
    :param resource: attributes that identify this daemon.
    """
    provider = TracerProvider(resource=resource)
    exporter = OTLPSpanExporter(
        endpoint=f'{otlp.rstrip("/")}/v1/traces',
        timeout=EXPORT_TIMEOUT_SECONDS,
    )
    provider.add_span_processor(
        BatchSpanProcessor(exporter, schedule_delay_millis=SPANS_PERIOD_MS)
    )
    return provider
