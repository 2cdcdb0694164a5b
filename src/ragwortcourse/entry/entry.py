"""State of one entry daemon."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable

from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.detached_tasks import DetachedTasks
from ragwortcourse.entry.catalog import Catalog
from ragwortcourse.entry.claim_batch_router import ClaimBatchRouter
from ragwortcourse.entry.claim_batcher import ClaimBatcher
from ragwortcourse.entry.claim_results import ClaimResults
from ragwortcourse.entry.crashers import CrasherRegistry
from ragwortcourse.entry.outliers import OutlierDetector
from ragwortcourse.entry.records import RequestRecords
from ragwortcourse.entry.retry_budget import RetryBudget
from ragwortcourse.entry.retry_scheduler import RetryScheduler
from ragwortcourse.membership.directory import TargetDirectory
from ragwortcourse.messages.peer_port import AgentPort
from ragwortcourse.messages.shared_crasher import SharedCrasher
from ragwortcourse.settings import Settings
from ragwortcourse.storage.table import (
    CommitOutcome,
    ConditionalWrite,
    TableService,
)


async def skip_broadcast(crasher: SharedCrasher) -> None:
    """Do nothing; the default where there are no other entry daemons."""


@dataclasses.dataclass(kw_only=True)
class EntryState:
    """State of one entry daemon, shared by all requests.

    :param read_wall_clock: returns seconds since the epoch, from which the
        age of claims by other daemons is computed.
    :param claim_batch_router: sends claims to the daemon that batches the
        claims of this failure domain; none if each daemon writes its own.
    :param broadcast_crasher: reports a request that crashed too many targets
        to all other entry daemons.
    :param crash_report_tasks: tasks that report crashes and may outlive the
        answers of their calls.
    :param calls_in_flight: admitted calls whose answers have not ended.
    :param idle: set when the last call in flight ends.
    """

    settings: Settings
    holder: ConfigurationHolder
    directory: TargetDirectory
    agent_port: AgentPort
    table: TableService
    rng: random.Random
    read_wall_clock: Callable[[], float] = time.time
    catalog: Catalog = dataclasses.field(default_factory=Catalog)
    records: RequestRecords = dataclasses.field(default_factory=RequestRecords)
    budget: RetryBudget = dataclasses.field(default_factory=RetryBudget)
    crashers: CrasherRegistry = dataclasses.field(
        default_factory=CrasherRegistry
    )
    outliers: OutlierDetector = dataclasses.field(
        default_factory=OutlierDetector
    )
    crash_report_tasks: DetachedTasks = dataclasses.field(
        default_factory=DetachedTasks
    )
    retry_scheduler: RetryScheduler = dataclasses.field(
        default_factory=RetryScheduler
    )
    claim_batch_router: ClaimBatchRouter | None = None
    broadcast_crasher: Callable[[SharedCrasher], Awaitable[None]] = (
        skip_broadcast
    )
    claim_batcher: ClaimBatcher = dataclasses.field(init=False)
    results: ClaimResults = dataclasses.field(init=False)
    draining: bool = False
    calls_in_flight: int = 0
    idle: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Create the batching writers of claims and of their results."""
        self.claim_batcher = ClaimBatcher(table=self.table)
        self.results = ClaimResults(commit=self.commit_claim)

    async def commit_claim(self, write: ConditionalWrite) -> CommitOutcome:
        """Write one claim, through the claim batch router if there is one."""
        if self.claim_batch_router is None:
            return await self.claim_batcher.commit(write)
        return await self.claim_batch_router.commit(write)

    def begin_call(self) -> None:
        """Count an admitted call as in flight."""
        self.calls_in_flight += 1
        self.idle.clear()

    def end_call(self) -> None:
        """Count a call as ended."""
        self.calls_in_flight -= 1
        if not self.calls_in_flight:
            self.idle.set()


async def stop_entry(entry: EntryState) -> None:
    """Stop the background tasks; call this when no call is in flight."""
    await entry.crash_report_tasks.cancel()
    await entry.results.stop()
    await entry.claim_batcher.stop()


async def drain_entry(entry: EntryState) -> None:
    """Refuse new calls, wait for the calls in flight, flush claim results.

    Claim results that can't be written within the flush's time limit are
    left unwritten.
    """
    entry.draining = True
    if entry.calls_in_flight:
        await entry.idle.wait()
    await entry.results.flush()
