"""What may be repeated of a request."""

import enum


class CallKind(enum.StrEnum):
    """Kind of the requests of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'
