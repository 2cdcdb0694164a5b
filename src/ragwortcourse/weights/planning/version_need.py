"""What is missing of a named version, in seconds of the links it crosses."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionNeed:
    """Downloads that a named version still needs.

    :param named_at: seconds of the clock on which the plan is made.
    :param link_seconds: time of the own link for the chunks missing here;
        infinity while no source offers them.
    :param origin_seconds: time of the origin's link for the chunks that no
        other host holds; zero if hosts of the fleet hold the whole version.
    """

    version: int
    named_at: float
    link_seconds: float
    origin_seconds: float = 0

    @property
    def is_held_elsewhere(self) -> bool:
        """Tell whether the version can be had without the origin's link."""
        return self.origin_seconds == 0
