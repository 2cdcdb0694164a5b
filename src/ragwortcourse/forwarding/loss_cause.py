"""Cause of a missing or incomplete answer of a target."""

import enum


class LossCause(enum.Enum):
    """Cause of a missing or incomplete answer."""

    # The connection ended.
    CUT = 'cut'
    # The target stopped sending.
    SILENCE = 'silence'
    # The target had announced a change of its weights, which ends requests.
    ANNOUNCED = 'announced'
    # The target sent something that is no answer to the request.
    INVALID = 'invalid'
    # The connection ended after the daemon had not read the answer for long,
    # as its caller did not take it. Targets cut such answers.
    UNREAD = 'unread'
