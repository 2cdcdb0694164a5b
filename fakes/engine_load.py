"""How a stand-in engine bears its load."""

import msgspec

from ragwortcourse.clock import read_clock


class EngineLoad(msgspec.Struct, kw_only=True):
    """A target that slows down with load and falls over beyond a point.

    :param cold: requests at once that it bears after its start.
    :param warm: requests at once that it bears later.
    :param warm_after: seconds from the first request until it is warm.
    :param latency: seconds to the first byte without other load.
    :param pace: seconds between two pieces of a stream.
    :param reports: true where it reports its load.
    :param report_lag: seconds between two reports.
    :param dies_over: share of what it bears at which it dies; zero: never.
    """

    cold: int = 2
    warm: int = 8
    warm_after: float = 5
    latency: float = 0.02
    pace: float = 0.005
    reports: bool = True
    report_lag: float = 0.5
    dies_over: float = 0
    running: int = 0
    peak: float = 0
    first_at: float | None = None

    def read_bearable(self) -> int:
        """Requests at once that it bears now."""
        if self.first_at is None:
            return self.cold
        share = (read_clock() - self.first_at) / max(self.warm_after, 0.001)
        grown = (self.warm - self.cold) * min(share, 1)
        return self.cold + int(grown)

    def begin(self) -> None:
        """Take one more request."""
        if self.first_at is None:
            self.first_at = read_clock()
        self.running += 1
        self.peak = max(self.peak, self.running / self.read_bearable())

    def end(self) -> None:
        """Be done with one request."""
        self.running -= 1

    def cool(self) -> None:
        """Be as after the start."""
        self.first_at = None

    def read_slowdown(self) -> float:
        """Factor on every duration; it collapses beyond what it bears."""
        share = self.running / self.read_bearable()
        return 1 + share / 2 if share <= 1 else 1.5 * share**3

    @property
    def dies(self) -> bool:
        """Tell whether the load of this moment kills it."""
        share = self.running / self.read_bearable()
        return 0 < self.dies_over < share
