"""Causes of findings in rounds of weights."""

import enum


class LoadCause(enum.StrEnum):
    """Why an engine loaded a wrong chunk, or holds no newest version."""

    MISSING = 'a chunk was missing'
    ORDERED_WRONG = 'another version was staged when the order was sent'
    LATE_ORDER = 'another version was staged after the order was sent'
    LATE_WRITE = 'a write without an answer was done late'
    OLD_CHECK = 'a chunk rotted before the order was sent'
    ROT_UNDER_WAY = 'a chunk rotted after the order was sent'
    NOT_HELD = 'the newest version is not held in time'
