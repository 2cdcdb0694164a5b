"""Retries that other daemons have lent to a daemon.

Load pattern: grants are late or doubled, and a daemon stands still while it
holds some. Clocks of two daemons are not compared: a grant is older than
nothing but the wish that it answers, so that it may be used for a bounded
time from that wish on.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Mapping
from typing import Final

from ragwortcourse.forwarding.retries.retry_messages import RetryAsk, RetryGrant
from ragwortcourse.identifiers import AskId, DaemonId

# Time from a wish in which its grant may be used; some rounds of messages and
# the next failures.
VALID_SECONDS: Final = 3.0
# Time for an answer: two rounds of messages at the lender, and transit.
ANSWER_SECONDS: Final = 0.35
# Shortest time after which a wish is sent again; more than one round.
REPEAT_SECONDS: Final = 0.15
# Time for which a daemon is not asked again that had too little to lend, as
# what it lent or used comes back to it after a window; and one that did not
# answer. In a failure of all daemons each asks all others as often as this.
EMPTY_SECONDS: Final = 3.0
SILENT_SECONDS: Final = 1.0
# Sums of fractions of a retry are this much too small.
ROUNDING: Final = 1e-6


@dataclasses.dataclass(slots=True, kw_only=True)
class _Wish:
    ask: RetryAsk
    at: float
    sent_at: float = -math.inf


@dataclasses.dataclass(slots=True, kw_only=True)
class _Grant:
    left: float
    until: float


class BorrowedRetries:
    """Wishes and grants of one daemon.

    :param incarnation: differs after a restart, so that no grant to a former
        incarnation is taken.
    """

    def __init__(self, *, incarnation: str) -> None:
        self._incarnation = incarnation
        self._numbers = itertools.count()
        self._wishes: dict[DaemonId, _Wish] = {}
        self._empty_until: dict[DaemonId, float] = {}
        self._grants: list[_Grant] = []

    def ask(
        self,
        lenders: Iterable[DaemonId],
        *,
        need: float,
        portion: float,
        now: float,
    ) -> None:
        """Ask daemons for retries until the need is covered.

        :param lenders: daemons in the order in which they are asked.
        :param portion: most that one daemon is asked for.
        """
        for lender in lenders:
            if need <= 0:
                return
            if lender in self._wishes or lender in self._empty_until:
                continue
            amount = min(need, portion)
            need -= amount
            ask = AskId(f'{self._incarnation}-{next(self._numbers)}')
            self._wishes[lender] = _Wish(
                ask=RetryAsk(ask=ask, amount=amount), at=now
            )

    def take_unsent(self, now: float) -> Mapping[DaemonId, RetryAsk]:
        """Return the wishes to send now, also again, by their receivers."""
        self._drop_expired(now)
        unsent = {}
        for lender, wish in self._wishes.items():
            if now - wish.sent_at >= REPEAT_SECONDS:
                wish.sent_at = now
                unsent[lender] = wish.ask
        return unsent

    def count_awaited(self, now: float) -> float:
        """Count the retries in wishes that are not answered yet."""
        self._drop_expired(now)
        return sum(wish.ask.amount for wish in self._wishes.values())

    def take(self, lender: DaemonId, grant: RetryGrant, now: float) -> float:
        """Take the answer to a wish, once.

        :return: retries taken; zero for an answer to none of the open wishes.
        """
        self._drop_expired(now)
        wish = self._wishes.get(lender)
        if wish is None or wish.ask.ask != grant.ask:
            return 0
        self._wishes.pop(lender)
        if grant.amount < wish.ask.amount:
            self._empty_until[lender] = now + EMPTY_SECONDS
        amount = min(grant.amount, wish.ask.amount)
        if amount:
            self._grants.append(
                _Grant(left=amount, until=wish.at + VALID_SECONDS)
            )
        return amount

    def count_left(self, now: float) -> int:
        """Count the whole retries that may be used now."""
        self._drop_expired(now)
        return int(sum(grant.left for grant in self._grants) + ROUNDING)

    def spend(self, now: float) -> bool:
        """Use one retry if there is one, of the oldest grants first."""
        if not self.count_left(now):
            return False
        need: float = 1
        for grant in self._grants:
            used = min(grant.left, need)
            grant.left -= used
            need -= used
        return True

    def _drop_expired(self, now: float) -> None:
        self._grants = [
            grant for grant in self._grants if grant.left and now < grant.until
        ]
        for lender, wish in tuple(self._wishes.items()):
            if now > wish.at + ANSWER_SECONDS:
                self._wishes.pop(lender)
                self._empty_until[lender] = now + SILENT_SECONDS
        for lender, until in tuple(self._empty_until.items()):
            if now > until:
                self._empty_until.pop(lender)
