"""Roles of engines in disaggregated serving."""

import enum


class EngineRole(enum.StrEnum):
    """Phases of a request that an engine runs.

    ``PREFILL`` processes prompts, ``DECODE`` generates tokens, ``BOTH`` does
    both.
    """

    PREFILL = 'prefill'
    DECODE = 'decode'
    BOTH = 'both'
