"""Limit that a target names in its answers."""

import dataclasses
from typing import Final

from ragwortcourse.identifiers import TargetName

# Longer than a report takes between daemons.
TRANSIT_SECONDS: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NamedLimit:
    """Limit on the requests of all entry daemons together.

    :param born: start time of the incarnation in milliseconds since the epoch.
    :param rate: requests a second; none if the target named none any more.
    :param named_at: arrival of the answer, in seconds of the clock that runs
        during suspension.
    """

    target: TargetName
    born: int
    rate: float | None
    named_at: float

    def replaces(self, known: 'NamedLimit') -> bool:
        """Tell whether this limit replaces one that is known."""
        if self.born != known.born:
            return self.born > known.born
        # A report that comes back from another daemon looks newer by its time
        # in transit.
        same = self.rate == known.rate
        return self.named_at > known.named_at + same * TRANSIT_SECONDS
