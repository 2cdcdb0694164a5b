"""Decision about a request by the crashes that it seems to have caused.

Load pattern: one request ends each target that runs it, and callers send it
again to other daemons. Other requests at those targets lose their answers
each time, too.
"""

import enum


class Verdict(enum.Enum):
    """Treatment of a request that may crash targets."""

    ALLOWED = 'allowed'
    # Runs at as few targets as possible.
    SUSPECT = 'suspect'
    # Refused until it is known whether the targets crashed.
    HELD = 'held'
    REFUSED = 'refused'


def judge_request(*, proven: int, suspected: int, refused_from: int) -> Verdict:
    """Judge a request by crashes of targets that ran it.

    :param proven: crashes that are certain.
    :param suspected: crashes that are certain or not known yet.
    :param refused_from: number of crashes from which a request is refused.
    """
    if proven >= refused_from:
        return Verdict.REFUSED
    if suspected >= refused_from:
        return Verdict.HELD
    return Verdict.SUSPECT if suspected else Verdict.ALLOWED
