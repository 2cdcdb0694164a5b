"""States of a client's connection."""

import enum


class Phase(enum.Enum):
    """What the process waits for on a connection."""

    # The first byte of a request.
    IDLE = 'idle'
    # The end of a head.
    HEAD = 'head'
    # The end of a body; nothing of the request was sent on.
    BODY = 'body'
    # A target's answer.
    RUNNING = 'running'
    # The caller, who takes the answer.
    ANSWER = 'answer'
    # The close of the connection, after a refusal.
    CLOSING = 'closing'


# A connection may be closed without breaking a promise: nothing of its request
# was sent on, or the caller does not take the answer.
CLOSABLE = frozenset((Phase.IDLE, Phase.HEAD, Phase.BODY, Phase.ANSWER))
