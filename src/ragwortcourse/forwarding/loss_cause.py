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
