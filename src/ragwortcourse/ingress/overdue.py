"""Connections that take longer than the limits of the desired state."""

from ragwortcourse.ingress.connection import Connection
from ragwortcourse.ingress.phase import Phase
from ragwortcourse.ingress.refusals import BODY_LATE, HEAD_LATE, IDLE


def find_overdue(connection: Connection, now: float) -> str | None:
    """Find why a connection is to be ended now; none if it is not.

    A body that makes no progress for the time that an idle connection may
    stay open is not sent by a client that follows the documentation.
    """
    limits = connection.limits
    if connection.phase is Phase.IDLE:
        is_late = now - connection.since > limits.idle_seconds
        return IDLE if is_late else None
    if connection.phase is Phase.HEAD:
        is_late = now - connection.since > limits.header_seconds
        return HEAD_LATE if is_late else None
    if connection.phase is Phase.BODY:
        is_late = now - connection.moved_at > limits.idle_seconds
        return BODY_LATE if is_late else None
    return None
