"""Outcomes of the requests of a day, and figures of them."""

import collections
import dataclasses

from ragwortcourse.forwarding.route import Route


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What became of one request.

    :param target_name: empty if it was refused.
    :param first: seconds to its first event; none: not begun yet.
    :param pause: longest seconds between two of its events.
    :param most_held: most tokens that its target held at once, all day.
    """

    domain: str
    route: Route
    at: float
    target_name: str = ''
    target_domain: str = ''
    first: float | None = None
    pause: float = 0
    most_held: int = 0

    @property
    def on_time(self) -> bool:
        """Tell whether it began in time and went on without a long pause."""
        return (
            self.first is not None
            and self.first <= self.route.objective
            and self.pause <= self.route.longest_gap
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class DayFigures:
    """Figures of a day.

    :param served: share of the requests that were sent to a target.
    :param on_time: share of the requests that were on time.
    :param shares: the same for the callers of each domain.
    :param late: share of the sent requests that were late.
    :param start: mean seconds to the first event.
    :param worst: seconds to the first event that one in 100 exceeds.
    :param busiest: requests of the busiest target, as a multiple of the mean.
    :param far: share of the sent requests that went to another domain.
    :param most_held: most tokens that a target held at once.
    """

    served: float
    on_time: float
    shares: dict[str, float]
    late: float
    start: float
    worst: float
    busiest: float
    far: float
    most_held: int


def compute_figures(outcomes: list[Outcome]) -> DayFigures:
    """Compute the figures of a day."""
    by_domain: dict[str, list[bool]] = collections.defaultdict(list)
    for each in outcomes:
        by_domain[each.domain].append(each.on_time)
    sent = [each for each in outcomes if each.target_name]
    starts = sorted(each.first or 9.0 for each in sent)
    counts = collections.Counter(each.target_name for each in sent)
    return DayFigures(
        served=len(sent) / len(outcomes),
        on_time=sum(each.on_time for each in outcomes) / len(outcomes),
        shares={
            domain: sum(on_time) / len(on_time)
            for domain, on_time in by_domain.items()
        },
        late=sum(not each.on_time for each in sent) / len(sent),
        start=sum(starts) / len(starts),
        worst=starts[len(starts) * 99 // 100],
        busiest=max(counts.values()) * len(counts) / len(sent),
        far=sum(each.target_domain != each.domain for each in sent) / len(sent),
        most_held=max(each.most_held for each in sent),
    )
