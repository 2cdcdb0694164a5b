"""Replay of the lending of retries between daemons, in virtual time.

Load pattern: failures at few of many daemons, beside lost, late and doubled
messages, and daemons that freeze, end, restart and join.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from fakes.fleet_parts import FLEET
from ragwortcourse.forwarding.retries.fleet_retry_budget import (
    FleetRetryBudget,
)
from ragwortcourse.forwarding.retries.retry_exchange import RetryExchange
from ragwortcourse.forwarding.retries.retry_messages import RetryMessage
from ragwortcourse.identifiers import (
    Address,
    DaemonId,
    FailureDomainName,
    RegionName,
)
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.settings import FleetSettings

ROUND_SECONDS: Final = 0.1
# A daemon counts as alive for this long after its last message.
FRESH_SECONDS: Final = 1.5
# Time in which a request that found no retry waits for one.
WAIT_SECONDS: Final = 1.0
# Most of the time until all daemons know of one that joined.
JOIN_SECONDS: Final = 5.0
TRANSIT_SECONDS: Final = 0.003
LATEST_SECONDS: Final = 20.0


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryDaemon:
    """One daemon; its clock differs from those of others.

    :ivar frozen_until: it neither runs nor reads messages before.
    :ivar cut_until: its messages and those to it are lost until then.
    """

    record: RelayRecord
    budget: FleetRetryBudget
    exchange: RetryExchange
    frozen_until: float = 0
    cut_until: float = 0
    ended: bool = False
    known: int = 0
    waiting: list[float] = dataclasses.field(default_factory=list)


class RetryFleet:
    """Daemons that share one retry budget.

    :param loss: share of the messages that are lost; as many are doubled, and
        as many late.
    :ivar retries: time and daemon of each retry.
    :ivar denied: requests that got none in time.
    """

    def __init__(
        self, *, count: int, fleet: FleetSettings, loss: float, seed: int
    ) -> None:
        self.now = 1000.0
        self.fleet = fleet
        self.retries: list[tuple[float, DaemonId]] = []
        self.first: list[float] = []
        self.denied = 0
        self._ran: dict[DaemonId, float] = {}
        self._loss = loss
        self.rng = random.Random(seed)
        self._order = itertools.count()
        self._sent: list[tuple[float, int, int, DaemonId, RetryMessage]] = []
        self.daemons: list[RetryDaemon] = []
        for _ in range(count):
            self.join()
        for daemon in self.daemons:
            daemon.known = count
            daemon.budget.daemons = count

    def join(self) -> None:
        """Start one more daemon, of which others learn later."""
        number = len(self.daemons)
        record = RelayRecord(
            daemon=DaemonId(f'e-{number}'),
            address=Address(f'10.0.0.{number}:1'),
            failure_domain=FailureDomainName(f'd-{number % 3}'),
            region=RegionName('r'),
        )
        self.daemons.append(self._start(record))

    def restart(self, number: int) -> None:
        """Replace a daemon by one that knows nothing of before."""
        former = self.daemons[number]
        started = self._start(former.record)
        started.budget.note_predecessor()
        self.daemons[number] = started

    def fail(self, number: int, count: int) -> None:
        """Let requests fail at a daemon, each of which needs a retry."""
        daemon = self.daemons[number]
        if self._runs(daemon):
            for _ in range(count):
                if not self._spend(daemon):
                    daemon.waiting.append(self.now)

    def try_first(self, number: int, count: int) -> None:
        """Let a daemon send requests for the first time."""
        for _ in range(count):
            self.daemons[number].budget.count_first_try()
            self.first.append(self.now)

    def run(
        self, seconds: float, step: Callable[[], None] = lambda: None
    ) -> None:
        """Let time pass in rounds of messages."""
        for _ in range(round(seconds / ROUND_SECONDS)):
            self.now += ROUND_SECONDS
            self._deliver()
            step()
            for number, daemon in enumerate(self.daemons):
                if self._runs(daemon):
                    self._run_round(number, daemon)

    def find_excess(self) -> float:
        """Return by how much the busiest window exceeds the limit."""
        window = self.fleet.retry_window_seconds
        return max(
            (
                _count(self.retries, at, window)
                - _count([(each, '') for each in self.first], at, window)
                * self.fleet.retry_ratio
                - self.fleet.retry_reserve
                for at, _ in self.retries
            ),
            default=0,
        )

    def _start(self, record: RelayRecord) -> RetryDaemon:
        offset = self.rng.uniform(0, 1e6)
        budget = FleetRetryBudget(
            fleet=self.fleet, read_now=lambda: self.now + offset
        )
        budget.daemons = len(self.daemons) + 1
        return RetryDaemon(
            record=record,
            budget=budget,
            exchange=RetryExchange(
                budget=budget,
                own=record,
                is_alive=self._is_alive,
                rng=self.rng,
            ),
            known=len(self.daemons) + 1,
        )

    def _runs(self, daemon: RetryDaemon) -> bool:
        return not daemon.ended and self.now >= daemon.frozen_until

    def _is_alive(self, name: DaemonId) -> bool:
        return self.now - self._ran.get(name, 0) < FRESH_SECONDS

    def _run_round(self, number: int, daemon: RetryDaemon) -> None:
        if self.now >= daemon.cut_until:
            self._ran[daemon.record.daemon] = self.now
        for since in tuple(daemon.waiting):
            if daemon.budget.count_left() and self._spend(daemon):
                daemon.waiting.remove(since)
            elif self.now - since > WAIT_SECONDS:
                daemon.waiting.remove(since)
                self.denied += 1
        if self.rng.random() < ROUND_SECONDS / JOIN_SECONDS * 2:
            daemon.known = len(self.daemons)
            daemon.budget.daemons = daemon.known
        listed = [each.record for each in self.daemons[: daemon.known]]
        names = [record.daemon for record in listed]
        for to, message in daemon.exchange.write_round(listed).items():
            self._send(number, names.index(to), message)

    def _send(self, sender: int, receiver: int, message: RetryMessage) -> None:
        name = self.daemons[sender].record.daemon
        copies = 1 + (self.rng.random() < self._loss)
        is_cut = self.daemons[sender].cut_until > self.now
        for _ in range(copies):
            delay = TRANSIT_SECONDS
            if self.rng.random() < self._loss:
                delay = self.rng.uniform(0, LATEST_SECONDS)
            if self.rng.random() < self._loss or is_cut:
                continue
            entry = self.now + delay, next(self._order), receiver, name, message
            heapq.heappush(self._sent, entry)

    def _deliver(self) -> None:
        while self._sent and self._sent[0][0] <= self.now:
            _, order, receiver, sender, message = heapq.heappop(self._sent)
            daemon = self.daemons[receiver]
            if self.now < daemon.frozen_until:
                # The socket keeps it until the daemon runs again.
                entry = daemon.frozen_until, order, receiver, sender, message
                heapq.heappush(self._sent, entry)
            elif not daemon.ended and self.now >= daemon.cut_until:
                daemon.exchange.note_message(sender, message)

    def _spend(self, daemon: RetryDaemon) -> bool:
        is_left = daemon.budget.try_spend()
        if is_left:
            self.retries.append((self.now, daemon.record.daemon))
        return is_left


def build_fleet(reserve: float) -> FleetSettings:
    """Build settings with a reserve of retries."""
    return msgspec.structs.replace(FLEET, retry_reserve=reserve)


def _count(
    events: Sequence[tuple[float, str]], begin: float, window: float
) -> int:
    return sum(begin <= at <= begin + window for at, _ in events)
