"""Answers that ended with their connections, until their targets are known."""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from ragwortcourse.crashes.suspect import Suspect
from ragwortcourse.forwarding.lost_run import Fate, LostRun
from ragwortcourse.forwarding.target import Target

# The oldest are forgotten, and neither clear nor count against anything.
CLOSED_LIMIT: Final = 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClosedAnswer:
    """Answer that is whole only if its target did not end with it.

    :param suspects: what the answer clears, or is evidence against.
    """

    suspects: tuple[Suspect, ...]
    run: LostRun


class ClosedAnswers:
    """Answers without a stated length whose targets may have ended."""

    def __init__(self) -> None:
        self._answers = collections.deque[ClosedAnswer](maxlen=CLOSED_LIMIT)

    def add(self, suspects: Iterable[Suspect], run: LostRun) -> None:
        """Add an answer that just ended."""
        self._answers.append(ClosedAnswer(suspects=tuple(suspects), run=run))

    def take_of(self, target: Target) -> list[ClosedAnswer]:
        """Remove and return the answers of one incarnation."""
        taken = [
            each
            for each in self._answers
            if each.run.target == target.name and each.run.born == target.born
        ]
        for each in taken:
            self._answers.remove(each)
        return taken

    def take_known(
        self, read_fate: Callable[[LostRun], Fate]
    ) -> list[tuple[ClosedAnswer, Fate]]:
        """Remove and return the answers of targets whose fate is known."""
        fates = [(each, read_fate(each.run)) for each in self._answers]
        known = [pair for pair in fates if pair[1] is not Fate.UNKNOWN]
        for each, _ in known:
            self._answers.remove(each)
        return known
