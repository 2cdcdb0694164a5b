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

    A run that was noted as silent may still end its target, so that an answer
    of the target in between proves nothing about the end.

    Times are seconds of the clock that runs during suspension.

    :param born: start time of the incarnation in milliseconds since the epoch.
    :param sent_at: time at which the request was sent.
    :param lost_at: time at which the loss was first noticed.
    :param end: how the answer was lost.
    :param ended_at: time at which it was lost in this way.
    :param fate: of the incarnation after ``ended_at``.
    :param losses: number of earlier losses that the incarnation has outlived.
    """

    target: TargetName
    born: int
    sent_at: float
    lost_at: float
    end: RunEnd = RunEnd.CUT
    ended_at: float
    fate: Fate = Fate.UNKNOWN
    losses: int = 0

    def merge(self, other: 'LostRun') -> 'LostRun':
        """Merge with another report about the same incarnation.

        Merging is associative and commutative, so the order of reports does
        not matter.
        """
        if self.losses != other.losses:
            return max(self, other, key=lambda run: run.losses)
        end = max(self.end, other.end)
        latest = [run for run in (self, other) if run.end is end]
        return dataclasses.replace(
            self,
            sent_at=min(self.sent_at, other.sent_at),
            lost_at=min(self.lost_at, other.lost_at),
            end=end,
            ended_at=min(run.ended_at for run in latest),
            fate=max(run.fate for run in latest),
        )
