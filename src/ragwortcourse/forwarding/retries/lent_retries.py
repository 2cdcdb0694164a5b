"""Retries that a daemon has lent to others, and must not use itself.

Load pattern: datagrams are lost, doubled and late, and borrowers freeze or
die. The lender cannot know whether a grant arrived, so each one counts as
used from the moment of sending until no window can hold a use of it.
"""

import math
from collections.abc import Mapping
from typing import Final

from ragwortcourse.forwarding.retries.retry_messages import RetryAsk, RetryGrant
from ragwortcourse.identifiers import AskId, DaemonId

# Steps in which amounts are lent, so that their digits in messages are few.
STEPS_PER_RETRY: Final = 1000

_Key = tuple[DaemonId, AskId]


class LentRetries:
    """Grants of one daemon.

    :param hold_seconds: time for which a grant is withheld from the lender.
    """

    def __init__(self, *, hold_seconds: float) -> None:
        self._hold_seconds = hold_seconds
        # The oldest grant comes first.
        self._grants: dict[_Key, tuple[float, float]] = {}
        self._unsent: dict[DaemonId, dict[AskId, RetryGrant]] = {}
        self._held: float = 0

    def count_held(self, now: float) -> float:
        """Count the retries that are lent."""
        while self._grants:
            key, (amount, until) = next(iter(self._grants.items()))
            if now <= until:
                break
            self._grants.pop(key)
            self._held -= amount
        if not self._grants:
            # Ends the sum of rounding errors.
            self._held = 0
        return self._held

    def lend(
        self, borrower: DaemonId, ask: RetryAsk, *, lendable: float, now: float
    ) -> None:
        """Answer a wish; a repeated one gets the same answer again.

        :param lendable: retries that may be lent now.
        """
        self.count_held(now)
        key = borrower, ask.ask
        known = self._grants.get(key)
        if known is None:
            steps = math.floor(min(ask.amount, lendable) * STEPS_PER_RETRY)
            amount = max(steps, 0) / STEPS_PER_RETRY
            if amount:
                self._grants[key] = amount, now + self._hold_seconds
                self._held += amount
        else:
            amount = known[0]
        answers = self._unsent.setdefault(borrower, {})
        answers[ask.ask] = RetryGrant(ask=ask.ask, amount=amount)

    def take_unsent(self) -> Mapping[DaemonId, tuple[RetryGrant, ...]]:
        """Return the answers to send, once."""
        unsent = self._unsent
        self._unsent = {}
        return {
            borrower: tuple(answers.values())
            for borrower, answers in unsent.items()
        }
