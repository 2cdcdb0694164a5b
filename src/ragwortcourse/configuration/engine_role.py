"""What part of a request's work an engine does."""

import enum


class EngineRole(enum.StrEnum):
    """Roles that engines know.

    ``PREFILL`` reads prompts, ``DECODE`` makes tokens, ``BOTH`` does all.
    """

    PREFILL = 'prefill'
    DECODE = 'decode'
    BOTH = 'both'
