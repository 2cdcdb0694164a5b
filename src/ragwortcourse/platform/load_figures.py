"""Reading of the load that a target reports in its answers."""

import logging
from typing import Final

from ragwortcourse.bounded import MAX_PACE, MIN_PACE
from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.platform.amounts import read_amount

LOAD_FIELDS: Final = 3
# Longest figure of a load that is read: no target has more requests.
LOAD_DIGITS: Final = 7
# Figure of a target whose work takes as long as usual.
USUAL_PACE: Final = 100

LOGGER: Final = logging.getLogger(__name__)


def read_load(text: str) -> ReportedLoad | None:
    """Read running, waiting and slots, and the pace if there is a fourth.

    :return: none if one of them can't be read.
    """
    if not text:
        return None
    fields = text.split(',', LOAD_FIELDS)
    counts, rest = fields[:LOAD_FIELDS], fields[LOAD_FIELDS:]
    pace = _read_pace(rest[0]) if rest else None
    if (
        len(counts) < LOAD_FIELDS
        or not all(_is_load_count(field) for field in counts)
        or (rest and pace is None)
    ):
        LOGGER.warning(
            'unreadable load of a target ignored', extra={'content': text}
        )
        return None
    running, waiting, slots = (int(field) for field in counts)
    return ReportedLoad(
        running=running, waiting=waiting, slots=slots, pace=pace
    )


def _is_load_count(field: str) -> bool:
    digits = field.strip()
    return digits.isdecimal() and len(digits) <= LOAD_DIGITS


def _read_pace(text: str) -> float | None:
    amount = read_amount(text)
    pace = None if amount is None else amount / USUAL_PACE
    if pace is None or not MIN_PACE <= pace <= MAX_PACE:
        return None
    return pace
