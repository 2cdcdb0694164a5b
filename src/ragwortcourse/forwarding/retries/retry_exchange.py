"""Wishes and grants of retries in the rounds of load messages.

Load pattern: failures are at few daemons of many, and each of these needs
within a second what many others do not use.
"""

import logging
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from ragwortcourse.forwarding.retries.fleet_retry_budget import (
    FleetRetryBudget,
)
from ragwortcourse.forwarding.retries.retry_messages import RetryMessage
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.membership.relay_daemons import RelayRecord

# Daemons that are asked in one round, which bounds its messages.
LENDERS_PER_ROUND: Final = 16
# Log lines about grants are at least this far apart.
LOG_SECONDS: Final = 1.0

LOGGER: Final = logging.getLogger(__name__)


class RetryExchange:
    """Exchange of retries between one daemon and others.

    :param own: record of this daemon.
    :param is_alive: tells whether another daemon sent a message recently.
    """

    def __init__(
        self,
        *,
        budget: FleetRetryBudget,
        own: RelayRecord,
        is_alive: Callable[[DaemonId], bool],
        rng: random.Random,
    ) -> None:
        self._budget = budget
        self._own = own
        self._is_alive = is_alive
        self._rng = rng
        self._logged_at = -math.inf

    def write_round(
        self, registered: Sequence[RelayRecord]
    ) -> Mapping[DaemonId, RetryMessage]:
        """Return the messages of one round by their receivers."""
        budget, now = self._budget, self._budget.read_now()
        if registered:
            # An empty list has not been read yet; the assumed number stays.
            budget.daemons = len(registered)
        # The first daemon that is alive is enough in most rounds.
        budget.has_lenders = any(map(self._may_lend, registered))
        need = budget.compute_need()
        if need:
            lenders = list(filter(self._may_lend, registered))
            budget.borrowed.ask(
                self._order(lenders)[:LENDERS_PER_ROUND],
                need=need,
                portion=budget.portion,
                now=now,
            )
        asks = budget.borrowed.take_unsent(now)
        grants = budget.lent.take_unsent()
        return {
            daemon: RetryMessage(
                ask=asks.get(daemon), grants=grants.get(daemon, ())
            )
            for daemon in asks.keys() | grants.keys()
        }

    def note_message(self, sender: DaemonId, message: RetryMessage) -> None:
        """Apply the message of another daemon."""
        budget, now = self._budget, self._budget.read_now()
        if message.ask is not None:
            budget.lent.lend(
                sender,
                message.ask,
                lendable=budget.compute_lendable(),
                now=now,
            )
        taken = sum(
            budget.borrowed.take(sender, grant, now) for grant in message.grants
        )
        if not taken:
            return
        budget.demand.waiters.wake(budget.count_left())
        if now - self._logged_at >= LOG_SECONDS:
            self._logged_at = now
            LOGGER.info(
                'retries borrowed from another daemon',
                extra={
                    'lender': sender,
                    'amount': taken,
                    'left': budget.count_left(),
                    'used': budget.count_used(),
                },
            )

    def _may_lend(self, relay: RelayRecord) -> bool:
        is_own = relay.daemon == self._own.daemon
        return not is_own and self._is_alive(relay.daemon)

    def _order(self, lenders: Sequence[RelayRecord]) -> list[DaemonId]:
        """Order daemons at random, those of the own failure domain first.

        They answer sooner, and bytes between regions are few.
        """
        drawn = self._rng.sample(lenders, len(lenders))
        drawn.sort(
            key=lambda relay: relay.failure_domain != self._own.failure_domain
        )
        return [relay.daemon for relay in drawn]
