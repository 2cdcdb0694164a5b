"""Choice of the connections that are closed when the budget is spent.

Load pattern: a few clients hold most of the budget and send or read slowly or
not at all, while many others send small requests. Closing the small ones frees
little, and refusing new ones would let the few keep what they hold.
"""

import dataclasses
from collections import Counter
from collections.abc import Sequence
from typing import Final

from ragwortcourse.ingress.phase import CLOSABLE, Phase

# Ordinary clients send and read without pauses of this length.
STALLED_SECONDS: Final = 1.0
# A body of four megabytes at this rate takes two minutes, far longer than the
# time limit of any request.
SLOW_BYTES_PER_SECOND: Final = 32_768
SLOW_AFTER_SECONDS: Final = 2.0
# Share of the budget above which the connections of a client are closed in
# favour of another client.
CLIENT_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionCost:
    """What one connection costs.

    :param number: identifies the connection.
    :param client: address of the client.
    :param held: bytes held for the connection.
    :param seconds: time since its phase began.
    :param still_seconds: time since it last sent or took something.
    :param moved: bytes sent or taken in this phase.
    """

    number: int
    client: str
    phase: Phase
    held: int
    seconds: float
    still_seconds: float
    moved: int

    @property
    def byte_seconds(self) -> float:
        """Bytes held times the time for which they have been held."""
        return self.held * self.seconds

    @property
    def is_slow(self) -> bool:
        """Tell whether the client is slower than any that is of use."""
        if self.still_seconds >= STALLED_SECONDS:
            return True
        return (
            self.phase is not Phase.IDLE
            and self.seconds >= SLOW_AFTER_SECONDS
            and self.moved < self.seconds * SLOW_BYTES_PER_SECOND
        )


def choose_costliest(
    connections: Sequence[ConnectionCost],
    *,
    client: str,
    needed: int,
    total: int,
) -> Sequence[int]:
    """Choose the connections to close for a claim of another one.

    Slow ones come first, then those of a client that holds more than its
    share; in each case the ones that held most for longest.

    :param client: address of the client that needs the bytes.
    :param needed: bytes to free.
    :param total: size of the budget.
    :return: numbers; empty if closing the others would not free enough.
    """
    greedy = _find_greedy(connections, total=total) - {client}
    candidates = [
        cost
        for cost in connections
        if cost.held
        and cost.phase in CLOSABLE
        and (cost.is_slow or cost.client in greedy)
    ]
    candidates.sort(key=lambda cost: (cost.is_slow, cost.byte_seconds))
    chosen = []
    freed = 0
    while candidates and freed < needed:
        costliest = candidates.pop()
        freed += costliest.held
        chosen.append(costliest.number)
    return chosen if freed >= needed else ()


def _find_greedy(
    connections: Sequence[ConnectionCost], *, total: int
) -> set[str]:
    """Find the clients that hold more than their share."""
    held: Counter[str] = Counter()
    for cost in connections:
        held[cost.client] += cost.held
    return {
        client for client, size in held.items() if size > total * CLIENT_SHARE
    }
