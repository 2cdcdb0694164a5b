"""Latency and table load of four ways to write claims and results.

Runs at the target size and in virtual time. A stand-in table commits a fixed
number of transactions a second, one after the other, whatever their size.
Batching and routing of the writes are the project's own code.
"""

import asyncio
import dataclasses
import random
import statistics
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final

import looptime

from fakes.memory_table import MemoryRows
from ragwortcourse.entry.claim_batch_router import ClaimBatchRouter
from ragwortcourse.entry.claim_batcher import ClaimBatcher
from ragwortcourse.entry.claim_results import ClaimResults
from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    HostName,
    RegionName,
)
from ragwortcourse.membership.hosts import HostRecord, HostRole
from ragwortcourse.storage.table import (
    CommitOutcome,
    ConditionalWrite,
    RowRead,
    TableKey,
    TableService,
)

DAEMONS: Final = 350
DOMAINS: Final = 8
TABLE_RATE: Final = 400.0
TABLE_LATENCY_SECONDS: Final = 0.004
HOP_LATENCY_SECONDS: Final = 0.0005
RUN_SECONDS: Final = 0.1
SECONDS: Final = 3.0
RATES: Final = (350, 700)
CONTENT: Final = b'c' * 400

Commit = Callable[[ConditionalWrite], Awaitable[CommitOutcome]]


class RateLimitedTable:
    """A table that commits ``TABLE_RATE`` transactions a second."""

    def __init__(self) -> None:
        self.rows = MemoryRows()
        self._free_at = 0.0

    def build(self) -> TableService:
        """Build the table service that callers use."""
        return TableService(read=self.read, commit=self.commit)

    async def read(self, key: TableKey) -> RowRead:
        """Read one row without delay."""
        return RowRead(row=self.rows.read(key))

    async def commit(
        self, writes: tuple[ConditionalWrite, ...]
    ) -> CommitOutcome:
        """Commit all writes or none, after the transactions ahead."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + 1 / TABLE_RATE
        await asyncio.sleep(self._free_at - now + TABLE_LATENCY_SECONDS)
        return self.rows.commit(writes)


@dataclasses.dataclass(frozen=True, kw_only=True)
class WritePath:
    """How one daemon writes its claims and its results.

    :ivar claim: commits a claim.
    :ivar result: commits a result.
    """

    claim: Commit
    result: Commit


def build_direct(table: TableService) -> list[WritePath]:
    """Build daemons that commit each write as a transaction."""

    async def commit(write: ConditionalWrite) -> CommitOutcome:
        return await table.commit((write,))

    return [WritePath(claim=commit, result=commit) for _ in range(DAEMONS)]


def build_batched(table: TableService) -> list[WritePath]:
    """Build daemons that each batch their own writes."""
    batchers = [ClaimBatcher(table=table) for _ in range(DAEMONS)]
    return [WritePath(claim=one.commit, result=one.commit) for one in batchers]


def build_claims_routed(table: TableService) -> list[WritePath]:
    """Build daemons that route claims and batch their own results.

    Claims go to the daemon that batches for the failure domain.
    """
    pairs = zip(build_routed(table), build_batched(table), strict=True)
    return [WritePath(claim=one.claim, result=two.result) for one, two in pairs]


def build_routed(table: TableService) -> list[WritePath]:
    """Build daemons that route claims and results.

    Both go to the daemon that batches for the failure domain.
    """
    batchers: dict[str, ClaimBatcher] = {}
    peers: dict[FailureDomainName, list[HostRecord]] = {}

    async def ask(address: str, write: ConditionalWrite) -> CommitOutcome:
        await asyncio.sleep(HOP_LATENCY_SECONDS)
        outcome = await batchers[address].commit(write)
        await asyncio.sleep(HOP_LATENCY_SECONDS)
        return outcome

    ways = []
    for number in range(DAEMONS):
        domain = FailureDomainName(f'domain-{number % DOMAINS}')
        name = f'entry-{number}'
        batchers[name] = ClaimBatcher(table=table)
        hosts = peers.setdefault(domain, [])
        hosts.append(
            HostRecord(
                host=HostName(name),
                role=HostRole.ENTRY,
                daemon=DaemonId(name),
                address=name,
                failure_domain=domain,
                region=RegionName('r'),
            )
        )
        router = ClaimBatchRouter(
            daemon=DaemonId(name),
            failure_domain=domain,
            batcher=batchers[name],
            list_peers=lambda hosts=hosts: hosts,  # type: ignore[misc]
            send=ask,
        )
        ways.append(WritePath(claim=router.commit, result=router.commit))
    return ways


WAYS: Final[dict[str, Callable[[TableService], list[WritePath]]]] = {
    'each by itself': build_direct,
    'batches of each daemon': build_batched,
    'claims by a helper': build_claims_routed,
    'claims and results by a helper': build_routed,
}


async def measure_way(name: str, rate: int) -> dict[str, Any]:
    """Measure one way to write claims and results.

    :param name: key of ``WAYS``.
    :param rate: claims a second.
    """
    table = RateLimitedTable()
    ways = WAYS[name](table.build())
    results = [ClaimResults(commit=way.result) for way in ways]
    rng = random.Random(1)
    latencies: list[float] = []
    loop = asyncio.get_running_loop()

    async def claim(number: int) -> None:
        await asyncio.sleep(rng.uniform(0, SECONDS))
        daemon = number % DAEMONS
        key = TableKey(f'claims/a/{number}')
        began = loop.time()
        await ways[daemon].claim(
            ConditionalWrite(key=key, content=CONTENT, expected_version=0)
        )
        latencies.append(loop.time() - began)
        await asyncio.sleep(RUN_SECONDS)
        results[daemon].put(
            ConditionalWrite(key=key, content=CONTENT, expected_version=1)
        )

    count = int(rate * SECONDS)
    began = loop.time()
    await asyncio.gather(*(claim(number) for number in range(count)))
    seconds = loop.time() - began
    cuts = statistics.quantiles(latencies, n=100)
    return {
        'measure': 'claims',
        'way': name,
        'daemons': DAEMONS,
        'claims_per_s': rate,
        'table_rate': TABLE_RATE,
        'transactions_per_s': round(table.rows.commits / seconds, 1),
        'claim_p50_ms': round(cuts[49] * 1000, 1),
        'claim_p95_ms': round(cuts[94] * 1000, 1),
        'lag_at_end_s': round(seconds - SECONDS - RUN_SECONDS, 2),
        'baseline': name == 'each by itself',
    }


def run() -> Iterator[dict[str, Any]]:
    """Yield one row for each rate and way."""
    for rate in RATES:
        for name in WAYS:
            loop = looptime.new_event_loop()
            try:
                yield loop.run_until_complete(measure_way(name, rate))
            finally:
                for task in asyncio.all_tasks(loop):
                    task.cancel()
                loop.run_until_complete(asyncio.sleep(0))
                loop.close()
