"""Reason why a request is sent to no further target."""

import enum


class TriesEnd(enum.StrEnum):
    """Reason that ended the tries of a request, beside an unusable target."""

    RUNS = 'may have run at as many targets as the route allows'
    ONCE = 'may run only once'
    SUSPECT = 'may crash its targets'
    DECLINED = 'declined by too many targets'
    BUDGET = 'retry budget spent'
    TIME = 'time limit reached'
    GAP = 'caller waits no longer for an event'
