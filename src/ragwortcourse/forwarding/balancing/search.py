"""Search for the target at which a request begins soonest.

Load pattern: all daemons learn of each other's requests late, those of other
failure domains after up to 0.4 s. If each sent its requests to the target
that looks best, that one would be overrun until they learn of it. Each daemon
therefore looks at a few random targets of its own domain, whose loads it knows
best, at others only if these have no room, and relies less on late news.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from ragwortcourse.forwarding.balancing.description import Found
from ragwortcourse.forwarding.balancing.drawing import Draw
from ragwortcourse.forwarding.balancing.scope import (
    WIDE_RESERVE,
    Scope,
    has_free_slot,
)
from ragwortcourse.forwarding.placement import SAMPLED_TARGETS

# Targets that are looked at before a request is refused: all of most services,
# and a bounded part of the largest.
MOST_TARGETS: Final = 64
# Jitter, so that daemons with the same view of the loads do not all choose the
# same target. With 0.03 s, 15 instead of 13 in 100 were late in a replay.
JITTER_SECONDS: Final = 0.1
# Share of the slots that stays free, by the news known, when a request goes to
# another domain: requests that are not known yet take it. In a replay of a
# full service, 24 instead of 17 in 100 were late without it.
ELSEWHERE_RESERVE: Final = 0.08
# Sum of penalties, as a share of the slots, from which on a target of the own
# domain is compared with others: a failure some seconds ago.
SOUND_PENALTY: Final = 0.25


class Search:
    """Search for the target of one request.

    :param has_room: tells whether the request should be sent to a target now.
    :param compute_cost: computes the expected seconds to the first event, with
        all penalties.
    :param home_share: share of the searches that begin in the own domain.
    """

    def __init__(
        self,
        *,
        draw: Draw,
        has_room: Callable[[Found], bool],
        compute_cost: Callable[[Found], float],
        home_share: float,
        rng: random.Random,
    ) -> None:
        self._draw = draw
        self._has_room = has_room
        self._compute_cost = compute_cost
        self._home_share = home_share
        self._rng = rng

    def find_soonest(self) -> Found | None:
        """Find the cheapest of the targets that were looked at and have room.

        :return: the cheapest of the nearest few if none has room; none if no
            target is usable.
        """
        is_home = self._rng.random() < self._home_share
        near = self._draw(
            SAMPLED_TARGETS, Scope.OWN_DOMAIN if is_home else Scope.ALL
        )
        # Only the cheapest of them: with any that has room, daemons that all
        # look at full targets sent too much to the few that seemed free.
        roomy = self._keep_roomy(self._find_cheapest(near), reserve=0)
        if roomy and roomy[0].candidate.penalty < SOUND_PENALTY:
            return roomy[0]
        far = self._draw(SAMPLED_TARGETS, Scope.ELSEWHERE)
        roomy += self._keep_roomy(far, reserve=ELSEWHERE_RESERVE)
        few = near or far
        if not roomy:
            # Waiting requests look often, while most targets are full.
            scope = Scope.FREE if few else Scope.ALL
            every = self._draw(MOST_TARGETS, scope)
            roomy = self._keep_roomy(every, reserve=WIDE_RESERVE)
            few = few or every[:SAMPLED_TARGETS]
        return next(iter(self._find_cheapest(roomy or few)), None)

    def _find_cheapest(self, targets: Sequence[Found]) -> Sequence[Found]:
        """Find the cheapest of some targets; empty if there is none."""
        return sorted(targets, key=self._rate)[:1]

    def _rate(self, found: Found) -> float:
        return self._compute_cost(found) + self._rng.random() * JITTER_SECONDS

    def _keep_roomy(
        self, targets: Iterable[Found], *, reserve: float
    ) -> list[Found]:
        """Keep the targets that have room.

        :param reserve: share of the slots that has to stay free; zero: none
            has to be free.
        """
        return [
            found
            for found in targets
            if (
                not reserve
                or has_free_slot(
                    load=found.place.load,
                    slots=found.place.slots,
                    reserve=reserve,
                )
            )
            and self._has_room(found)
        ]
