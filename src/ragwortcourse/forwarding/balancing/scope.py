"""Parts of a service's targets."""

import enum


class Scope(enum.Enum):
    """Targets that a search looks at.

    Targets that are avoided for now are found only among all, if there are no
    others.
    """

    OWN_DOMAIN = 'own domain'
    ELSEWHERE = 'elsewhere'
    ALL = 'all'
