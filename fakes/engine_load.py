"""Load model of a stand-in engine."""

import msgspec

from ragwortcourse.clock import read_clock


class EngineLoad(msgspec.Struct, kw_only=True):
    """Load of a target that slows down and may crash under overload.

    :param cold: concurrent requests it can take after its start.
    :param warm: concurrent requests it can take once warm.
    :param warm_after: seconds from the first request until it is warm.
    :param latency: seconds to the first byte without other load.
    :param pace: seconds between two pieces of a stream.
    :param reports: true if it reports its load.
    :param report_lag: seconds between two reports.
    :param crash_load_ratio: ratio of running requests to capacity above which
        it crashes; zero: never.
    :param running: requests that run now.
    :param peak: highest ratio of running requests to capacity so far.
    :param first_at: monotonic seconds of the first request since it was
        cold; none before that request.
    """

    cold: int = 2
    warm: int = 8
    warm_after: float = 5
    latency: float = 0.02
    pace: float = 0.005
    reports: bool = True
    report_lag: float = 0.5
    crash_load_ratio: float = 0
    running: int = 0
    peak: float = 0
    first_at: float | None = None

    def read_capacity(self) -> int:
        """Return the number of concurrent requests it can take now."""
        if self.first_at is None:
            return self.cold
        share = (read_clock() - self.first_at) / max(self.warm_after, 0.001)
        grown = (self.warm - self.cold) * min(share, 1)
        return self.cold + int(grown)

    def begin(self) -> None:
        """Count a request that starts."""
        if self.first_at is None:
            self.first_at = read_clock()
        self.running += 1
        self.peak = max(self.peak, self.running / self.read_capacity())

    def end(self) -> None:
        """Count a request that has ended."""
        self.running -= 1

    def cool(self) -> None:
        """Return to the cold state, as after a start."""
        self.first_at = None

    def read_slowdown(self) -> float:
        """Return the factor on durations; it grows cubically in overload."""
        share = self.running / self.read_capacity()
        return 1 + share / 2 if share <= 1 else 1.5 * share**3

    @property
    def dies(self) -> bool:
        """Whether the present load crashes the target."""
        share = self.running / self.read_capacity()
        return 0 < self.crash_load_ratio < share
