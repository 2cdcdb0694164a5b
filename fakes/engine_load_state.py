"""What an engine holds or loads."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineLoadState:
    """State of one incarnation of an engine since its last order.

    :param version: version that is held or being loaded; zero for none.
    :param orders: orders accepted since the engine's start.
    :param busy_until: when loading ends.
    """

    version: int = 0
    orders: int = 0
    busy_until: float = 0.0
