"""W3C trace context in headers."""

from collections.abc import Mapping, MutableMapping

from opentelemetry.context import Context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

PROPAGATOR = TraceContextTextMapPropagator()


def extract_context(headers: Mapping[str, str]) -> Context:
    """Trace context that a message brought; an empty one where it has none.

    :param headers: any case of names.
    """
    carrier = {name.lower(): value for name, value in headers.items()}
    return PROPAGATOR.extract(carrier, context=Context())


def inject_context(headers: MutableMapping[str, str]) -> None:
    """Put the trace context of the current span into headers to be sent."""
    PROPAGATOR.inject(headers)
