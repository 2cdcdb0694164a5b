"""Time until a model version is on all hosts, and the traffic on the links.

The code with which hosts fetch weights runs unchanged in one process. Links
are stand-ins in virtual time. Chunks and link rates are scaled down by the same
factor.
"""

import asyncio
import concurrent.futures
import dataclasses
import random
from collections.abc import Iterator
from typing import Final

import looptime

from fakes.landings import EXCHANGE_BYTES, LandingFleet
from fakes.links import ORIGIN

CHUNK_BYTES: Final = 65_536
CHUNKS: Final = 300
# A chunk takes 0.1 s on a link.
LINK_RATE: Final = 10 * CHUNK_BYTES
MEMORY_CHUNKS: Final = 64
LONGEST_SECONDS: Final = 5000
WORKERS: Final = 3
DAMAGE: Final = 0.001

Figure = str | int | float | bool | None
Row = dict[str, Figure]

THREE_DOMAINS: Final = {'a': 'region-1', 'b': 'region-2', 'c': 'region-3'}
EIGHT: Final = {
    f'domain-{number}': f'region-{number // 4 + 1}' for number in range(8)
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """Parameters of one run.

    :ivar hosts: number of hosts.
    :ivar places: region of each failure domain.
    :ivar line_share: rate of a link between regions, relative to the rate of a
        host's link.
    :ivar alone: whether each host fetches from the origin only.
    :ivar damage: share of damaged transfers.
    :ivar killed: share of the hosts that are killed half-way.
    """

    name: str
    hosts: int
    places: dict[str, str]
    chunks: int = CHUNKS
    line_share: float = 1
    alone: bool = False
    damage: float = 0
    killed: float = 0


def list_cases() -> list[Case]:
    """List the cases of ``run``; together they take less than a minute."""
    sizes = (48, 16, 8)
    cases = [
        Case(name='corrupted', hosts=48, places=EIGHT, damage=DAMAGE),
        Case(name='killed', hosts=48, places=EIGHT, killed=0.2),
        Case(name='narrow line', hosts=48, places=EIGHT, line_share=0.5),
    ]
    for places in (EIGHT, THREE_DOMAINS):
        cases += [
            Case(name='plain', hosts=hosts, places=places) for hosts in sizes
        ]
    cases += [
        Case(name='baseline', hosts=hosts, places=EIGHT, alone=True, chunks=200)
        for hosts in sizes
    ]
    return cases


async def run_case(case: Case) -> Row:
    """Run one case in the virtual time of the running loop."""
    fleet = LandingFleet(
        hosts=case.hosts,
        regions_by_domain=case.places,
        rate=LINK_RATE,
        line_rate=LINK_RATE * case.line_share,
        chunk_memory=MEMORY_CHUNKS * CHUNK_BYTES,
        origin_only=case.alone,
    )
    fleet.network.damage = case.damage
    size = case.chunks * CHUNK_BYTES
    content = random.Random(1).randbytes(size)
    fleet.deploy('v1', fleet.publish('v1', content, CHUNK_BYTES))
    floor = size / LINK_RATE / min(case.line_share, 1)
    fleet.start()
    killing = asyncio.create_task(kill_some(fleet, case, floor / 2))
    seconds = await fleet.wait_for('v1', LONGEST_SECONDS)
    await killing
    row = describe_run(fleet, case, seconds, floor)
    await fleet.stop()
    return row


async def kill_some(fleet: LandingFleet, case: Case, after: float) -> None:
    """Kill a share of the hosts.

    :param after: seconds until the kill.
    """
    if case.killed:
        await asyncio.sleep(after)
        number = round(case.hosts * case.killed)
        await fleet.kill(*random.Random(2).sample(list(fleet.hosts), number))


def describe_run(
    fleet: LandingFleet, case: Case, seconds: float, floor: float
) -> Row:
    """Make the row of one run.

    :param seconds: time until all hosts had the version.
    :param floor: lower bound of that time, from the size and the slowest link.
    """
    size = case.chunks * CHUNK_BYTES
    network = fleet.network
    links = [
        network.up[name].carried + network.down[name].carried
        for name in fleet.hosts
    ]
    exchanges = sum(host.exchanges for host in fleet.hosts.values())
    corrupted = sum(
        transfer.counts.corrupted
        for host in fleet.hosts.values()
        for transfer in host.agent_weights.exchange.transfers.values()
    )
    return {
        'measure': 'replicas',
        'baseline': case.alone,
        'case': case.name,
        'hosts': case.hosts,
        'failure_domains': len(case.places),
        'regions': len(set(case.places.values())),
        'model_bytes': size,
        'seconds': round(seconds, 2),
        'floor_seconds': round(floor, 2),
        'ratio': round(seconds / floor, 3),
        'origin_copies': round(network.up[ORIGIN].carried / size, 3),
        'max_link_copies': round(max(links) / size, 4),
        'corrupted': corrupted,
        'control_bytes_per_host': round(
            exchanges * EXCHANGE_BYTES / case.hosts
        ),
    }


def run_isolated(case: Case) -> Row:
    """Run one case in a separate loop."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(run_case(case))
    finally:
        loop.close()


def run_together(cases: list[Case]) -> Iterator[Row]:
    """Run cases in several processes and yield their rows."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        yield from pool.map(run_isolated, cases)


def run() -> Iterator[Row]:
    """Yield the rows of the short cases."""
    yield from run_together(list_cases())
