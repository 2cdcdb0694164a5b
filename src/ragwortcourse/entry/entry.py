"""State of one entry daemon."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable

from ragwortcourse.background import Background
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.entry.catalog import Catalog
from ragwortcourse.entry.claim_collector import ClaimCollector
from ragwortcourse.entry.claim_helpers import ClaimHelpers
from ragwortcourse.entry.claim_results import ClaimResults
from ragwortcourse.entry.crashers import Crashers
from ragwortcourse.entry.outliers import Outliers
from ragwortcourse.entry.records import RequestRecords
from ragwortcourse.entry.retry_budget import RetryBudget
from ragwortcourse.entry.return_turns import ReturnTurns
from ragwortcourse.membership.directory import TargetDirectory
from ragwortcourse.messages.peer_port import AgentPort
from ragwortcourse.messages.shared_crasher import SharedCrasher
from ragwortcourse.settings import Settings
from ragwortcourse.storage.table import (
    CommitOutcome,
    ConditionalWrite,
    TableService,
)


async def tell_nobody(crasher: SharedCrasher) -> None:
    """No other entry daemon to tell."""


@dataclasses.dataclass(kw_only=True)
class Entry:
    """What serving calls needs; parts are shared by all requests.

    :param read_wall: seconds since the epoch, to tell the age of claims
        that other daemons made.
    :param helpers: way to the daemon that collects the claims of this
        failure domain; none where each daemon writes its own.
    :param tell_peers: tells every other entry daemon of a request that
        has taken down too many targets.
    :param notices: words of crashes that go on behind their answers.
    :param under_way: calls taken whose answers are not at their end yet.
    """

    settings: Settings
    holder: ConfigurationHolder
    directory: TargetDirectory
    agent_port: AgentPort
    table: TableService
    rng: random.Random
    read_wall: Callable[[], float] = time.time
    catalog: Catalog = dataclasses.field(default_factory=Catalog)
    records: RequestRecords = dataclasses.field(default_factory=RequestRecords)
    budget: RetryBudget = dataclasses.field(default_factory=RetryBudget)
    crashers: Crashers = dataclasses.field(default_factory=Crashers)
    outliers: Outliers = dataclasses.field(default_factory=Outliers)
    notices: Background = dataclasses.field(default_factory=Background)
    returns: ReturnTurns = dataclasses.field(default_factory=ReturnTurns)
    helpers: ClaimHelpers | None = None
    tell_peers: Callable[[SharedCrasher], Awaitable[None]] = tell_nobody
    collector: ClaimCollector = dataclasses.field(init=False)
    results: ClaimResults = dataclasses.field(init=False)
    draining: bool = False
    under_way: int = 0
    idle: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Write claims and their results in common transactions."""
        self.collector = ClaimCollector(table=self.table)
        self.results = ClaimResults(commit=self.commit_claim)

    async def commit_claim(self, write: ConditionalWrite) -> CommitOutcome:
        """Write one claim, by way of the helper where one is set."""
        if self.helpers is None:
            return await self.collector.commit(write)
        return await self.helpers.commit(write)

    def enter(self) -> None:
        """Count a call that was taken."""
        self.under_way += 1
        self.idle.clear()

    def leave(self) -> None:
        """Count a call whose answer is at its end."""
        self.under_way -= 1
        if not self.under_way:
            self.idle.set()


async def stop_entry(entry: Entry) -> None:
    """End the tasks behind answers, with nothing left under way."""
    await entry.notices.cancel()
    await entry.results.stop()
    await entry.collector.stop()


async def drain_entry(entry: Entry) -> None:
    """Take no new work and return once everything under way has ended.

    Results of claims are written then, as far as that goes in time.
    """
    entry.draining = True
    if entry.under_way:
        await entry.idle.wait()
    await entry.results.flush()
