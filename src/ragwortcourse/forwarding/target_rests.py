"""Times for which targets want nothing from this daemon.

Load pattern: a target in trouble turns all requests away at once, so that it
has no load and each daemon prefers it.
"""

import dataclasses
import logging
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import TargetName

# A target that is still listed after this long is asked once more, so that a
# wrong number does not take it out of service for good.
LONGEST_REST_SECONDS: Final = 600.0

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Rest:
    """Rest of one incarnation of a target.

    :param until: seconds of the clock that runs during suspension.
    """

    born: int
    until: float


class TargetRests:
    """Rests that targets asked this daemon for.

    :param state: source of the listed targets.
    """

    def __init__(self, *, state: FleetState) -> None:
        self._state = state
        self._rests: dict[TargetName, _Rest] = {}

    def __len__(self) -> int:
        return len(self._rests)

    def note_answer(self, target: Target, seconds: float) -> None:
        """Note that a target wants nothing for some time.

        Of several rests of one incarnation the one that ends last holds.

        :param seconds: time from now on.
        """
        now = read_clock_with_suspend()
        known = self._find(target)
        until = now + min(seconds, LONGEST_REST_SECONDS)
        if known is not None and known.until >= until:
            return
        self._drop_ended(now)
        self._rests[target.name] = _Rest(born=target.born, until=until)
        if known is None or known.until <= now:
            LOGGER.info(
                'target asks for rest',
                extra={
                    'target': target.name,
                    'born': target.born,
                    'seconds': seconds,
                    'longest': LONGEST_REST_SECONDS,
                },
            )

    def read_seconds_left(self, target: Target) -> float:
        """Read for how long a target wants nothing; zero if not at all."""
        known = self._find(target)
        if known is None:
            return 0
        return max(known.until - read_clock_with_suspend(), 0)

    def _find(self, target: Target) -> _Rest | None:
        known = self._rests.get(target.name)
        return None if known is None or known.born != target.born else known

    def _drop_ended(self, now: float) -> None:
        listed = self._state.targets
        for name, rest in tuple(self._rests.items()):
            if rest.until <= now or name not in listed:
                self._rests.pop(name)
