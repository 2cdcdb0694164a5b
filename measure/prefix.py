"""Prompt prefix cache hits with prefix affinity and without it.

Entry daemons route requests with one of many prompt prefixes, a few of them
frequent, to targets. Each target caches the most recently used prefixes. A hit
is a request that reaches a target which has its prefix in the cache.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Iterator
from typing import Final

import looptime
import msgspec

from fakes.entries import make_entry, make_model_call, make_record
from fakes.scripted_agents import ScriptedAgents
from measure.program import Row
from ragwortcourse.entry.admission import admit_call
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.choice import Choice
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.entry.routing import choose_target
from ragwortcourse.identifiers import RequestId

TARGETS: Final = 24
PERMITS: Final = 8
ENTRIES: Final = 4
PREFIXES: Final = 1000
CACHED_PREFIXES: Final = 50
HOLD_SECONDS: Final = 0.5
STATUS_SECONDS: Final = 1.0
LOADS: Final = (0.3, 0.6, 0.9)
REQUESTS: Final = 6_000
WARM_UP: Final = 2_000
SEED: Final = 4


@dataclasses.dataclass(kw_only=True)
class Cache:
    """Least-recently-used cache of the prefixes at one target.

    :ivar running: requests in progress at the target.
    """

    running: int = 0
    prefixes: collections.OrderedDict[int | None, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def look_up(self, prefix: int | None) -> bool:
        """Cache a prefix and tell whether it was cached before."""
        hit = prefix in self.prefixes
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > CACHED_PREFIXES:
            self.prefixes.popitem(last=False)
        return hit


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Counts after the warm-up.

    :ivar hits: requests whose prefix was cached.
    :ivar full: requests that reached a target without a free permit.
    :ivar peak: highest number of requests in progress at one target.
    """

    hits: int = 0
    full: int = 0
    peak: int = 0


def make_entries() -> list[EntryState]:
    """Make entry daemons, each with its own records of all targets."""
    return [
        make_entry(
            ScriptedAgents().build_port(),
            *(
                make_record(
                    f'target-{number}', deployment='caption-llm', limit=PERMITS
                )
                for number in range(TARGETS)
            ),
            daemon=f'entry-{name}',
        )
        for name in range(ENTRIES)
    ]


def make_admitted_calls(entry: EntryState) -> list[AdmittedCall]:
    """Make one admitted call for each prompt prefix."""
    admitted_calls = []
    for number in range(PREFIXES):
        call = make_model_call(prompt=f'{number:04}' * 300)
        trail = entry.records.begin(RequestId(f'r{number}'))
        work = admit_call(entry, call, trail)
        if not isinstance(work, AdmittedCall):
            raise TypeError(work)
        admitted_calls.append(work)
    return admitted_calls


async def measure_way(*, affinity: bool, load: float) -> Row:
    """Route all requests at one load.

    :param load: share of all permits that the requests use on average.
    """
    rng = random.Random(SEED)
    entries = make_entries()
    admitted_calls = make_admitted_calls(entries[0])
    weights = [1 / (rank + 1) for rank in range(PREFIXES)]
    caches = {f'target-{number}': Cache() for number in range(TARGETS)}
    rate = load * TARGETS * PERMITS / HOLD_SECONDS
    tally = Tally()
    reporting = asyncio.create_task(report_forever(entries, caches))
    running: set[asyncio.Task[None]] = set()
    for number in range(REQUESTS):
        await asyncio.sleep(rng.expovariate(rate))
        (work,) = rng.choices(admitted_calls, weights)
        routed = work if affinity else dataclasses.replace(work, prefix=None)
        choice = choose_target(rng.choice(entries), routed, set())
        if not isinstance(choice, Choice):
            raise TypeError(choice)
        cache = caches[choice.record.target]
        hit = cache.look_up(work.prefix)
        task = asyncio.create_task(hold(choice, cache))
        running.add(task)
        task.add_done_callback(running.discard)
        if number >= WARM_UP:
            tally.hits += hit
            tally.full += cache.running >= PERMITS
            tally.peak = max(tally.peak, cache.running)
    await asyncio.wait(running)
    reporting.cancel()
    await asyncio.wait([reporting])
    counted = REQUESTS - WARM_UP
    return {
        'measure': 'prefix',
        'virtual_time': True,
        'way': 'affinity with bounded load' if affinity else 'most spare of 2',
        'load': load,
        'hits': round(tally.hits / counted, 4),
        'came_to_full_target': round(tally.full / counted, 4),
        'most_at_one_target': tally.peak,
        'baseline': not affinity,
    }


async def hold(choice: Choice, cache: Cache) -> None:
    """Hold a permit for ``HOLD_SECONDS``."""
    cache.running += 1
    choice.record.in_flight += 1
    choice.record.spare -= 1
    await asyncio.sleep(HOLD_SECONDS)
    cache.running -= 1
    choice.record.in_flight -= 1
    choice.record.spare += 1


async def report_forever(
    entries: list[EntryState], caches: dict[str, Cache]
) -> None:
    """Report each target's spare permits to every daemon at intervals."""
    while True:
        await asyncio.sleep(STATUS_SECONDS)
        for entry in entries:
            for record in entry.directory.records:
                if record.status is not None:
                    running = caches[record.target].running
                    record.spare = PERMITS - running
                    record.status = msgspec.structs.replace(
                        record.status, running=running
                    )


def run() -> Iterator[Row]:
    """Yield, for each load, a row with affinity, one without, a ratio."""
    for load in LOADS:
        rows = []
        for affinity in (True, False):
            loop = looptime.new_event_loop()
            try:
                way = measure_way(affinity=affinity, load=load)
                rows.append(loop.run_until_complete(way))
            finally:
                loop.close()
        yield from rows
        yield {
            'measure': 'prefix',
            'load': load,
            'hits_ratio': round(
                float(rows[0]['hits'] or 0) / float(rows[1]['hits'] or 1), 2
            ),
        }
