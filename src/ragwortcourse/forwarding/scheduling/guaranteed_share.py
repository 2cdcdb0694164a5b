"""Share of its requests that each priority and each account has served.

Load pattern: urgent demand alone exceeds what the targets serve. Without a
guaranteed share no less urgent request would ever be sent.
"""

from collections.abc import Collection, Hashable
from typing import Final

from ragwortcourse.forwarding.scheduling.decaying_rate import DecayingRate

# Each kind is sent at least this often compared with all requests. Users
# require a quarter; the rest covers requests that fail.
GUARANTEED_SHARE: Final = 0.33
# Requests of one kind that may use their guarantee one after another.
MAX_TOKENS: Final = 2.0
# Time over which the served share of all requests is measured.
SERVED_SECONDS: Final = 5.0


class GuaranteedShare:
    """Token buckets of the kinds of requests for one service.

    Each arrival adds a part of a token to its kinds, and each sent request
    takes a token from its kinds.
    """

    def __init__(self) -> None:
        self._arrived = DecayingRate(seconds=SERVED_SECONDS)
        self._sent = DecayingRate(seconds=SERVED_SECONDS)
        self._tokens: dict[Hashable, float] = {}

    def note_arrival(self, kinds: Collection[Hashable], now: float) -> None:
        """Count a request that arrives.

        :param kinds: its priority and its account.
        """
        self._arrived.add(now)
        served = min(self._sent.read(now) / self._arrived.read(now), 1)
        for kind in kinds:
            tokens = self._tokens.get(kind, 0) + served * GUARANTEED_SHARE
            self._tokens[kind] = min(tokens, MAX_TOKENS)

    def note_sent(self, kinds: Collection[Hashable], now: float) -> None:
        """Count a request that is sent to a target."""
        self._sent.add(now)
        for kind in kinds:
            self._tokens[kind] = max(self._tokens.get(kind, 0) - 1, 0)

    def is_due(self, kinds: Collection[Hashable]) -> bool:
        """Tell whether one of the kinds was served less than guaranteed."""
        return any(self._tokens.get(kind, 0) >= 1 for kind in kinds)

    def keep(self, kinds: Collection[Hashable]) -> None:
        """Forget all kinds but these."""
        for kind in self._tokens.keys() - set(kinds):
            self._tokens.pop(kind)
