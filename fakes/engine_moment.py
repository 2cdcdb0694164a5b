"""State of an engine at one moment."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineMoment:
    """State since a moment.

    :param version: version that is held or being loaded; zero for none.
    :param orders: orders accepted since the engine's start.
    :param busy_until: when loading ends.
    """

    at: float
    version: int = 0
    orders: int = 0
    busy_until: float = 0.0
