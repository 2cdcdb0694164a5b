"""Callers of several priorities that compete for engines."""

import dataclasses
from collections import Counter
from typing import Any

from fakes.fleet_parts import make_route
from ragwortcourse.forwarding.route import Route


@dataclasses.dataclass(frozen=True, kw_only=True)
class Callers:
    """Callers of one route.

    :param rate: requests a second at all daemons.
    :param value: of an answer that begins in time, and of a later one.
    :param begins: seconds of the run at which they begin and end.
    """

    route: Route
    rate: float
    prompt_tokens: int
    value: tuple[float, float]
    begins: float = 0
    ends: float = 1e9


def make_callers(name: str, rate: float, **changes: Any) -> Callers:
    """Build callers of a priority.

    :param name: of the route; begins with A, B or C for the priority.
    """
    usual: dict[str, Any] = {
        'A': (0, 0.406, 1290, (3.6, 0.36)),
        'B': (1, 0.406, 787, (1.7, 0.42)),
        'C': (2, 0.805, 607, (0.55, 0.2)),
    }
    priority, objective, prompt, value = usual[name[0]]
    return Callers(
        route=make_route(
            name=name,
            prefix=f'/{name}/',
            priority=priority,
            objective=objective,
        ),
        rate=rate,
        prompt_tokens=prompt,
        value=value,
        **changes,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcomes:
    """What became of the requests of one route."""

    counts: Counter[str] = dataclasses.field(default_factory=Counter)
    value: float = 0
    held_in_vain: list[float] = dataclasses.field(default_factory=list)

    @property
    def total(self) -> int:
        """Number of callers that have ended."""
        return sum(self.counts.values())

    @property
    def served(self) -> int:
        """Number of callers that got an answer."""
        return self.counts['timely'] + self.counts['late']

    @property
    def served_share(self) -> float:
        """Share of the callers that got an answer."""
        return self.served / max(self.total, 1)

    @property
    def timely_share(self) -> float:
        """Share of the callers whose answer began in time."""
        return self.counts['timely'] / max(self.total, 1)
