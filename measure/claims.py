"""Ways to write claims and results, at the target size, in virtual time.

A stand-in table takes a fixed number of transactions a second, one after
the other, whatever they hold. The claimers are the project's own parts.
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
TABLE_TRIP_SECONDS: Final = 0.004
HOP_SECONDS: Final = 0.0005
RUN_SECONDS: Final = 0.1
SECONDS: Final = 3.0
RATES: Final = (350, 700)
CONTENT: Final = b'c' * 400

Commit = Callable[[ConditionalWrite], Awaitable[CommitOutcome]]


class RatedTable:
    """A table that takes so many transactions a second."""

    def __init__(self) -> None:
        self.rows = MemoryRows()
        self._free_at = 0.0

    def build(self) -> TableService:
        """The port to it."""
        return TableService(read=self.read, commit=self.commit)

    async def read(self, key: TableKey) -> RowRead:
        """One row."""
        return RowRead(row=self.rows.read(key))

    async def commit(
        self, writes: tuple[ConditionalWrite, ...]
    ) -> CommitOutcome:
        """All writes or none, after their turn has come."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + 1 / TABLE_RATE
        await asyncio.sleep(self._free_at - now + TABLE_TRIP_SECONDS)
        return self.rows.commit(writes)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Way:
    """Where one daemon's claims and results go."""

    claim: Commit
    result: Commit


def build_direct(table: TableService) -> list[Way]:
    """Each write is a transaction."""

    async def commit(write: ConditionalWrite) -> CommitOutcome:
        return await table.commit((write,))

    return [Way(claim=commit, result=commit) for _ in range(DAEMONS)]


def build_own(table: TableService) -> list[Way]:
    """Each daemon collects its own."""
    batchers = [ClaimBatcher(table=table) for _ in range(DAEMONS)]
    return [Way(claim=one.commit, result=one.commit) for one in batchers]


def build_claims_collected(table: TableService) -> list[Way]:
    """Claims go by way of the helper; results are each daemon's own."""
    pairs = zip(build_collected(table), build_own(table), strict=True)
    return [Way(claim=one.claim, result=two.result) for one, two in pairs]


def build_collected(table: TableService) -> list[Way]:
    """Claims and results go by way of the helper."""
    batchers: dict[str, ClaimBatcher] = {}
    peers: dict[FailureDomainName, list[HostRecord]] = {}

    async def ask(address: str, write: ConditionalWrite) -> CommitOutcome:
        await asyncio.sleep(HOP_SECONDS)
        outcome = await batchers[address].commit(write)
        await asyncio.sleep(HOP_SECONDS)
        return outcome

    ways = []
    for number in range(DAEMONS):
        domain = FailureDomainName(f'domain-{number % DOMAINS}')
        name = f'entry-{number}'
        batchers[name] = ClaimBatcher(table=table)
        mates = peers.setdefault(domain, [])
        mates.append(
            HostRecord(
                host=HostName(name),
                role=HostRole.ENTRY,
                daemon=DaemonId(name),
                address=name,
                failure_domain=domain,
                region=RegionName('r'),
            )
        )
        helpers = ClaimBatchRouter(
            daemon=DaemonId(name),
            failure_domain=domain,
            batcher=batchers[name],
            list_peers=lambda mates=mates: mates,  # type: ignore[misc]
            ask=ask,
        )
        ways.append(Way(claim=helpers.commit, result=helpers.commit))
    return ways


WAYS: Final[dict[str, Callable[[TableService], list[Way]]]] = {
    'each by itself': build_direct,
    'batches of each daemon': build_own,
    'claims by a helper': build_claims_collected,
    'claims and results by a helper': build_collected,
}


async def measure_way(name: str, rate: int) -> dict[str, Any]:
    """Figures of one way at one rate of claims."""
    table = RatedTable()
    ways = WAYS[name](table.build())
    results = [ClaimResults(commit=way.result) for way in ways]
    rng = random.Random(1)
    waits: list[float] = []
    loop = asyncio.get_running_loop()

    async def claim(number: int) -> None:
        await asyncio.sleep(rng.uniform(0, SECONDS))
        daemon = number % DAEMONS
        key = TableKey(f'claims/a/{number}')
        began = loop.time()
        await ways[daemon].claim(
            ConditionalWrite(key=key, content=CONTENT, expected_version=0)
        )
        waits.append(loop.time() - began)
        await asyncio.sleep(RUN_SECONDS)
        results[daemon].put(
            ConditionalWrite(key=key, content=CONTENT, expected_version=1)
        )

    count = int(rate * SECONDS)
    began = loop.time()
    await asyncio.gather(*(claim(number) for number in range(count)))
    seconds = loop.time() - began
    cuts = statistics.quantiles(waits, n=100)
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
    """Rows of the measurement."""
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
