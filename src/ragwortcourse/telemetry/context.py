"""W3C trace context in headers."""

from collections.abc import Mapping, MutableMapping

from opentelemetry.context import Context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

PROPAGATOR = TraceContextTextMapPropagator()


def extract_context(headers: Mapping[str, str]) -> Context:
    """Extract the trace context from headers; empty if there is none.

    :param headers: names in any case.
    """
    carrier = {name.lower(): value for name, value in headers.items()}
    return PROPAGATOR.extract(carrier, context=Context())


def inject_context(headers: MutableMapping[str, str]) -> None:
    """Add the trace context of the current span to outgoing headers."""
    PROPAGATOR.inject(headers)
