"""Lost and repeated runs of claims and of an outbox, with daemons killed.

Runs in virtual time. The claims, written before the run, are the project's
own code. The outbox follows the paper on a transactional outbox: a row holds
a lease token and an attempt count, each step is a conditional write, and a
row whose lease has expired is applied again.
"""

import asyncio
import collections
import dataclasses
import random
import statistics
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final

import looptime
import msgspec

from fakes.entries import make_booking_call, make_entry, make_record
from fakes.memory_table import MemoryRows
from fakes.scripted_agents import ScriptedAgents
from ragwortcourse.entry.calls import serve_call
from ragwortcourse.messages.attempt import AttemptOutcome
from ragwortcourse.messages.call import CallAnswer
from ragwortcourse.storage.table import (
    CommitOutcome,
    Committed,
    ConditionalWrite,
    RowRead,
    TableKey,
    TableService,
)

CALLS: Final = 400
KILLED_SHARE: Final = 0.2
KILLED_WITHIN_SECONDS: Final = 0.15
TABLE_LATENCY_SECONDS: Final = 0.004
RUN_SECONDS: Final = 0.1
LEASE_SECONDS: Final = 5.0
RESEND_SECONDS: Final = 10.0


class OutboxRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row of the outbox.

    :ivar token: daemon that holds the lease.
    :ivar attempts: number of times that the row was applied.
    :ivar leased_until: time of the loop at which the lease expires, in
        seconds.
    :ivar is_done: whether the run is recorded as finished.
    """

    token: str
    attempts: int
    leased_until: float
    is_done: bool = False


@dataclasses.dataclass(kw_only=True)
class Bench:
    """Table, agents and latencies of one measured way.

    :ivar latencies: seconds of the calls whose daemon was not killed.
    :ivar running: attempts in progress.
    """

    rows: MemoryRows = dataclasses.field(default_factory=MemoryRows)
    agents: ScriptedAgents = dataclasses.field(default_factory=ScriptedAgents)
    latencies: list[float] = dataclasses.field(default_factory=list)
    running: set[asyncio.Future[AttemptOutcome]] = dataclasses.field(
        default_factory=set
    )

    async def start(self, address: str, attempt: Any) -> AttemptOutcome:
        """Run an attempt that continues when its sender is killed."""
        task = asyncio.ensure_future(self.agents.start(address, attempt))
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return await asyncio.shield(task)

    def build_table(self) -> TableService:
        """Build a table service that adds the latency of the network."""

        async def read(key: TableKey) -> RowRead:
            await asyncio.sleep(TABLE_LATENCY_SECONDS)
            return RowRead(row=self.rows.read(key))

        async def commit(
            writes: tuple[ConditionalWrite, ...],
        ) -> CommitOutcome:
            await asyncio.sleep(TABLE_LATENCY_SECONDS)
            return self.rows.commit(writes)

        return TableService(read=read, commit=commit)


async def send_claimed(bench: Bench, daemon: str, key: str) -> str:
    """Send a call once, with a claim before the run.

    :return: outcome told to the caller.
    """
    entry = make_entry(
        dataclasses.replace(bench.agents.build_port(), start=bench.start),
        make_record('near'),
        rows=bench.rows,
        daemon=daemon,
    )
    entry.table = bench.build_table()
    entry.__post_init__()
    outcome = await serve_call(
        entry, make_booking_call(f'{daemon}-{key}', key=key)
    )
    if not isinstance(outcome, CallAnswer):
        return outcome.error.outcome
    async for _ in outcome.body:
        pass
    return 'answered'


async def send_outbox(bench: Bench, daemon: str, key: str) -> str:
    """Send a call once through an outbox whose rows are applied again.

    :return: outcome told to the caller.
    """
    table = bench.build_table()
    name = TableKey(f'outbox/{key}')
    loop = asyncio.get_running_loop()
    found = (await table.read(name)).row  # type: ignore[union-attr]
    before = None
    if found is not None:
        before = msgspec.json.decode(found.content, type=OutboxRow)
        if before.is_done:
            return 'answered'
        if before.leased_until > loop.time():
            return 'unknown'
    leased = OutboxRow(
        token=daemon,
        attempts=before.attempts + 1 if before else 1,
        leased_until=loop.time() + LEASE_SECONDS,
    )
    version = found.version if found else 0
    write = ConditionalWrite(
        key=name,
        content=msgspec.json.encode(leased),
        expected_version=version,
    )
    if not isinstance(await table.commit((write,)), Committed):
        return 'unknown'
    await bench.start('near', make_attempt(daemon, key))
    done = msgspec.structs.replace(leased, is_done=True)
    await table.commit(
        (
            ConditionalWrite(
                key=name,
                content=msgspec.json.encode(done),
                expected_version=version + 1,
            ),
        )
    )
    return 'answered'


def make_attempt(daemon: str, key: str) -> Any:
    """Make an attempt of the outbox."""
    call = make_booking_call(f'{daemon}-{key}', key=key)
    return OutboxAttempt(attempt=f'{daemon}-{key}', body=call.body, key=key)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutboxAttempt:
    """The fields of an attempt that the scripted agents read."""

    attempt: str
    body: bytes
    key: str
    version: None = None


Send = Callable[[Bench, str, str], Awaitable[str]]


async def run_call(
    bench: Bench, send: Send, key: str, killed_after: float | None
) -> str:
    """Send a call, and again through another daemon after a kill.

    :param killed_after: seconds until the first daemon is killed, if at all.
    :return: outcome told to the caller.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        async with asyncio.timeout(killed_after):
            outcome = await send(bench, f'a-{key}', key)
            bench.latencies.append(loop.time() - began)
            return outcome
    except TimeoutError:
        await asyncio.sleep(RESEND_SECONDS)
        return await send(bench, f'b-{key}', key)


async def measure_way(name: str, send: Send) -> dict[str, Any]:
    """Count runs for each key, and the outcomes told to callers."""
    bench = Bench()
    bench.agents.seconds = RUN_SECONDS
    rng = random.Random(7)
    outcomes: collections.Counter[str] = collections.Counter()
    for number in range(CALLS):
        killed = None
        if rng.random() < KILLED_SHARE:
            killed = rng.uniform(0, KILLED_WITHIN_SECONDS)
        outcomes[await run_call(bench, send, f'k{number}', killed)] += 1
    runs = collections.Counter(
        getattr(one, 'key', None) or one.attempt.split('-k')[1].split('-')[0]
        for _, one in bench.agents.ran
    )
    return {
        'measure': 'outbox',
        'way': name,
        'calls': CALLS,
        'killed_share': KILLED_SHARE,
        'twice': sum(count > 1 for count in runs.values()),
        'never': CALLS - len(runs),
        **{f'told_{kind}': count for kind, count in sorted(outcomes.items())},
        'p50_ms': round(statistics.median(bench.latencies) * 1000, 1),
        'baseline': send is send_outbox,
    }


def run() -> Iterator[dict[str, Any]]:
    """Yield one row for each way."""
    ways: dict[str, Send] = {
        'outbox, applied again': send_outbox,
        'claim before run': send_claimed,
    }
    for name, send in ways.items():
        loop = looptime.new_event_loop()
        try:
            yield loop.run_until_complete(measure_way(name, send))
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
