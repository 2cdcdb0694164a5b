"""One incarnation of a target that was lost while it ran a request."""

import dataclasses
import enum

from ragwortcourse.identifiers import TargetName


class RunEnd(enum.IntEnum):
    """How an answer was lost; of several the higher value holds."""

    # The connection of an answer without a stated length ended in order,
    # which is the end of the answer or of the target.
    CLOSED = 0
    # The target stopped sending.
    SILENT = 1
    # The connection ended.
    CUT = 2


class Fate(enum.IntEnum):
    """State of an incarnation after it lost an answer.

    Where daemons differ, the higher value holds: a daemon that got an answer
    from the incarnation afterwards knows more than one that misses its row.
    """

    UNKNOWN = 0
    ENDED = 1
    SURVIVED = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LostRun:
    """Run of a request whose answer was lost at one incarnation.

    Times are seconds of the clock that runs during suspension.

    :param born: start time of the incarnation in milliseconds since the epoch.
    :param sent_at: time at which the request was sent.
    :param lost_at: time at which the loss was noticed.
    :param end: how the answer was lost.
    """

    target: TargetName
    born: int
    sent_at: float
    lost_at: float
    end: RunEnd = RunEnd.CUT
    fate: Fate = Fate.UNKNOWN

    def merge(self, other: 'LostRun') -> 'LostRun':
        """Merge with another report about the same incarnation.

        Merging is associative and commutative, so the order of reports does
        not matter.
        """
        return dataclasses.replace(
            self,
            sent_at=min(self.sent_at, other.sent_at),
            lost_at=min(self.lost_at, other.lost_at),
            end=max(self.end, other.end),
            fate=max(self.fate, other.fate),
        )
