"""Targets that say in their answers that they leave."""

import collections
import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import TargetName

# More than the targets that leave while their rows are listed; the oldest are
# forgotten.
DEPARTURES_LIMIT: Final = 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """Incarnation of a target that leaves.

    :param born: start time of the incarnation in milliseconds since the epoch.
    """

    target: TargetName
    born: int


class TargetDepartures:
    """Departures that one daemon knows of, beside the rows of targets.

    A row that is read later may be older than the answer.
    """

    def __init__(self) -> None:
        self._born: collections.OrderedDict[TargetName, int] = (
            collections.OrderedDict()
        )
        self._own_news_at: dict[TargetName, float] = {}

    def add(self, departure: Departure, *, own: bool) -> bool:
        """Add a departure.

        :param own: true if this daemon got the answer itself.
        :return: true if it was not known.
        """
        name = departure.target
        if self._born.get(name, departure.born - 1) >= departure.born:
            return False
        self._born[name] = departure.born
        self._born.move_to_end(name)
        self._own_news_at.pop(name, None)
        if own:
            self._own_news_at[name] = read_clock_with_suspend()
        if len(self._born) > DEPARTURES_LIMIT:
            oldest, _ = self._born.popitem(last=False)
            self._own_news_at.pop(oldest, None)
        return True

    def apply(self, target: Target) -> Target:
        """Apply what is known to an entry of the list of targets."""
        if self._born.get(target.name) != target.born:
            return target
        return dataclasses.replace(target, leaving=True)

    def list_since(self, since: float) -> list[Departure]:
        """List what targets said to this daemon since a time."""
        return [
            Departure(target=name, born=self._born[name])
            for name, noted_at in self._own_news_at.items()
            if noted_at > since
        ]

    def list_all(self) -> list[Departure]:
        """List all departures, also those of targets that are gone."""
        return [
            Departure(target=name, born=born)
            for name, born in self._born.items()
        ]
