"""Decision about a request by the crashes that a suspect seems to have caused.

Load pattern: one request, or each request with one part in its prompt, ends
the target that runs it, and callers send them to all daemons. Other requests
at those targets lose their answers each time, too.
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


def judge_suspect(*, proven: int, suspected: int, refused_from: int) -> Verdict:
    """Judge a suspect by crashes of targets that ran requests with it.

    :param proven: crashes that are certain.
    :param suspected: crashes that are certain or not known yet.
    :param refused_from: number of crashes from which requests are refused.
    """
    if proven >= refused_from:
        return Verdict.REFUSED
    if suspected >= refused_from:
        return Verdict.HELD
    return Verdict.SUSPECT if suspected else Verdict.ALLOWED
