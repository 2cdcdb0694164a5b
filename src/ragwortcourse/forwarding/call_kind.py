"""Kinds of requests, by whether a request may be retried."""

import enum


class CallKind(enum.StrEnum):
    """Kind of all requests of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'
