"""Parts of a service's targets."""

import enum
from typing import Final

# Share of the slots that stays free, by the news known, where a daemon looks
# at all targets, as the other daemons then do.
WIDE_RESERVE: Final = 0.25


class Scope(enum.Enum):
    """Targets that a search looks at.

    Those with free slots leave ``WIDE_RESERVE`` of them free.
    Targets that are avoided for now are found only among all, if there are no
    others.
    """

    OWN_DOMAIN = 'own domain'
    ELSEWHERE = 'elsewhere'
    FREE = 'with free slots'
    ALL = 'all'


def has_free_slot(*, load: float, slots: int, reserve: float) -> bool:
    """Tell whether a target has a slot beyond those that stay free.

    A target of one slot has nothing to reserve, and is free when idle.

    :param reserve: share of the slots that stays free.
    """
    return load + 1 <= max(slots * (1 - reserve), 1)
