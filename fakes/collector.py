"""Stand-in telemetry collector: takes OTLP/HTTP, gives spans as JSON."""

import click
import msgspec
from aiohttp import web
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
    ExportTraceServiceResponse,
)


class CollectedSpan(msgspec.Struct, frozen=True, kw_only=True):
    """One span as a daemon exported it; ids are hexadecimal.

    :param parent: id of the parent span; empty for a root span.
    :param service: name of the service, such as ``ragwortcourse-entry``.
    :param instance: id of the daemon.
    """

    trace: str
    span: str
    parent: str
    name: str
    service: str
    instance: str


def read_spans(body: bytes) -> list[CollectedSpan]:
    """Decode the spans of one OTLP export."""
    export = ExportTraceServiceRequest.FromString(body)
    spans: list[CollectedSpan] = []
    for resource in export.resource_spans:
        names = {
            pair.key: pair.value.string_value
            for pair in resource.resource.attributes
        }
        for scope in resource.scope_spans:
            spans.extend(
                CollectedSpan(
                    trace=span.trace_id.hex(),
                    span=span.span_id.hex(),
                    parent=span.parent_span_id.hex(),
                    name=span.name,
                    service=names.get('service.name', ''),
                    instance=names.get('service.instance.id', ''),
                )
                for span in scope.spans
            )
    return spans


class EngineSpan(msgspec.Struct, frozen=True, kw_only=True):
    """Span of a stand-in engine, with the trace context of the request."""

    name: str
    traceparent: str

    def to_collected(self) -> CollectedSpan:
        """Convert to a span with the ids from the trace context."""
        _, trace, parent, *_ = (*self.traceparent.split('-'), '', '', '')
        return CollectedSpan(
            trace=trace,
            span='',
            parent=parent,
            name=self.name,
            service='engine',
            instance='',
        )


def group_traces(
    spans: list[CollectedSpan],
) -> dict[str, list[CollectedSpan]]:
    """Group spans by trace id."""
    traces: dict[str, list[CollectedSpan]] = {}
    for span in spans:
        traces.setdefault(span.trace, []).append(span)
    return traces


def build_collector_app() -> web.Application:
    """Build the collector's HTTP application.

    Daemons post to the OTLP routes and engines to ``/spans``; ``/traces``
    shows the spans collected so far.
    """
    spans: list[CollectedSpan] = []

    async def take_traces(request: web.Request) -> web.Response:
        spans.extend(read_spans(await request.read()))
        return web.Response(
            body=ExportTraceServiceResponse().SerializeToString(),
            content_type='application/x-protobuf',
        )

    async def take_metrics(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(content_type='application/x-protobuf')

    async def take_span(request: web.Request) -> web.Response:
        span = msgspec.json.decode(await request.read(), type=EngineSpan)
        spans.append(span.to_collected())
        return web.Response(status=204)

    async def show_traces(request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(group_traces(spans)),
            content_type='application/json',
        )

    app = web.Application()
    app.router.add_post('/v1/traces', take_traces)
    app.router.add_post('/v1/metrics', take_metrics)
    app.router.add_post('/spans', take_span)
    app.router.add_get('/traces', show_traces)
    return app


@click.command()
@click.option('--listen', required=True, help='ip:port')
def main(listen: str) -> None:
    """Run the collector's stand-in until it is told to stop."""
    host, _, port = listen.rpartition(':')
    web.run_app(build_collector_app(), host=host, port=int(port), print=None)


if __name__ == '__main__':
    main()
