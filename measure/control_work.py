"""Processor time and bytes of each kind of control work, per unit."""

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from measure.control_memory import Readings, make_slope_row, read_idle
from measure.control_site import (
    ENGINE,
    ENTRY,
    MODEL,
    SERVICE,
    Site,
    make_configuration,
    open_site,
    plan_engine,
    plan_service,
)
from measure.program import Row
from ragwortcourse.agent.attempt_codec import encode_attempt
from ragwortcourse.identifiers import (
    AttemptId,
    ClientAccountName,
    DeploymentName,
    Generation,
    RequestId,
)
from ragwortcourse.messages.attempt import Attempt

SETTLE_SECONDS = 4.0
WINDOW_SECONDS = 8.0
CONCURRENCY = 8
MILLISECONDS = 1000


def make_value_row(role: str, per: str, unit: str, value: float) -> Row:
    """Make a row of one value, rounded to six digits."""
    return {
        'measure': 'control',
        'role': role,
        'per': per,
        'unit': unit,
        'value': float(f'{value:.6g}'),
    }


async def read_heartbeats(targets: int) -> dict[str, float]:
    """Measure rates of one entry daemon that watches stand-in agents.

    :return: bytes of resident memory, and per second: heartbeats, their
        bytes, processor seconds, polls and list reads with their bytes.
    """
    async with open_site(stand_ins=targets) as site:
        await site.apply(make_configuration())
        await asyncio.sleep(SETTLE_SECONDS)
        agents = site.plan.stand_ins
        for counter in (site.plan.table, site.plan.hosts, site.plan.objects):
            counter.reset()
        bytes_before, beats_before = agents.read_totals()
        processor = site.read_processor(ENTRY)
        began = time.monotonic()
        await asyncio.sleep(WINDOW_SECONDS)
        seconds = time.monotonic() - began
        bytes_after, beats_after = agents.read_totals()
        return {
            'targets': targets,
            'memory': site.read_memory(ENTRY),
            'beats': (beats_after - beats_before) / seconds,
            'bytes': (bytes_after - bytes_before) / seconds,
            'processor': (site.read_processor(ENTRY) - processor) / seconds,
            'polls': site.plan.table.requests / seconds,
            'poll_bytes': site.plan.table.total / seconds,
            'lists': site.plan.hosts.requests / seconds,
            'list_bytes': site.plan.hosts.total / seconds,
        }


async def measure_watching() -> list[Row]:
    """Measure heartbeats and polls, and memory per watched target."""
    found = await asyncio.gather(
        *(read_heartbeats(targets) for targets in (0, 4, 8, 12, 16))
    )
    points = [(each['beats'], each['processor']) for each in found]
    beating = [each for each in found if each['beats']]
    most = found[-1]
    return [
        make_slope_row(
            'entry',
            'watched target',
            'bytes resident',
            [(each['targets'], each['memory']) for each in found],
        ),
        make_slope_row('entry', 'heartbeat', 'processor seconds', points),
        make_value_row(
            'entry',
            'heartbeat',
            'bytes both ways',
            sum(each['bytes'] for each in beating)
            / sum(each['beats'] for each in beating),
        ),
        make_value_row(
            'entry', '16 watched targets', 'heartbeats a second', most['beats']
        ),
        make_value_row(
            'entry', '16 watched targets', 'core share', most['processor']
        ),
        make_value_row(
            'entry', 'no watched target', 'core share', found[0]['processor']
        ),
        make_value_row(
            'entry',
            'configuration poll',
            'bytes both ways',
            most['poll_bytes'] / most['polls'],
        ),
        make_value_row('entry', 'second', 'configuration polls', most['polls']),
        make_value_row(
            'entry',
            'read of an unchanged list of hosts',
            'bytes both ways',
            most['list_bytes'] / most['lists'],
        ),
        make_value_row(
            'entry', 'second', 'reads of the list of hosts', most['lists']
        ),
    ]


async def read_changes(accounts: int) -> dict[str, tuple[float, float]]:
    """Measure the mean processor seconds of 20 changes of configuration.

    :return: for each role, and for the size of the document in bytes, a pair
        of accounts and reading.
    """
    changes = 20
    async with open_site(plan_service()) as site:
        configuration = make_configuration(accounts=accounts)
        generation = await site.apply(configuration)
        await site.wait_for_generation(SERVICE, generation)
        await asyncio.sleep(2)
        before = {name: site.read_processor(name) for name in (ENTRY, SERVICE)}
        for _ in range(changes):
            generation = await site.apply(configuration)
            await site.wait_for_generation(SERVICE, generation)
        spent = {
            name: (site.read_processor(name) - start) / changes
            for name, start in before.items()
        }
        return {
            'entry': (accounts, spent[ENTRY]),
            'agent': (accounts, spent[SERVICE]),
            'document': (accounts, len(msgspec.json.encode(configuration))),
        }


async def measure_changes() -> list[Row]:
    """Measure how the cost of a change grows with the client accounts.

    A change is accepted, fetched and put in force.
    """
    found: Readings = {}
    sizes = (10, 1000, 2000)
    for each in await asyncio.gather(*map(read_changes, sizes)):
        for role, point in each.items():
            found.setdefault(role, []).append(point)
    rows = [
        make_slope_row(
            role,
            'client account in a document fetched',
            'processor seconds',
            found[role],
        )
        for role in ('entry', 'agent')
    ]
    rows.append(
        make_slope_row(
            'any',
            'client account in a document',
            'bytes',
            found['document'],
        )
    )
    return rows


async def measure_idle() -> list[Row]:
    """Measure processor time of idle daemons.

    An idle agent still monitors its target, weights and list of hosts, and
    handles a heartbeat every two seconds.
    """
    roles = {ENTRY: 'entry', ENGINE: 'agent', SERVICE: 'agent of a service'}
    async with open_site(plan_engine(), plan_service()) as site:
        generation = await site.apply(make_configuration())
        await site.wait_for_generation(SERVICE, generation)
        await asyncio.sleep(SETTLE_SECONDS)
        before = {name: site.read_processor(name) for name in roles}
        await asyncio.sleep(WINDOW_SECONDS)
        return [
            make_value_row(
                role,
                'idle',
                'ms a second',
                (site.read_processor(name) - before[name])
                * MILLISECONDS
                / WINDOW_SECONDS,
            )
            for name, role in roles.items()
        ]


async def measure_processor(
    site: Site, names: tuple[str, ...], work: Callable[[], Awaitable[object]]
) -> dict[str, float]:
    """Run work and return the processor seconds that each daemon used."""
    before = {name: site.read_processor(name) for name in names}
    await work()
    return {name: site.read_processor(name) - before[name] for name in names}


async def call_many(site: Site, count: int, prefix: str, method: str) -> None:
    """Call the service without an engine, ``CONCURRENCY`` calls at a time.

    :param prefix: prefix of the idempotency keys; no keys if empty.
    :raises RuntimeError: a call was answered with another status than 200.
    """
    waiting = list(range(count))

    async def work() -> None:
        while waiting:
            number = waiting.pop()
            key = f'{prefix}-{number}' if prefix else ''
            status = await site.call(key, method)
            if status != 200:
                raise RuntimeError(f'call answered {status}')

    await asyncio.gather(*(work() for _ in range(CONCURRENCY)))


async def measure_claims() -> list[Row]:
    """Measure non-idempotent calls, which write claims, and plain calls."""
    claimed: list[tuple[float, float]] = []
    plain: list[tuple[float, float]] = []
    agent: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    written: list[tuple[float, float]] = []
    commits: list[tuple[float, float]] = []
    async with open_site(plan_service()) as site:
        await site.apply(make_configuration())
        await site.wait_for_answer('renewals')
        await call_many(site, 100, 'warm-up', 'POST')
        names = (ENTRY, SERVICE)
        # Together with the 100 warm-up calls, these stay below the number of
        # records that a daemon keeps, so that none is evicted.
        for done in (0, 150, 300, 450):
            if done:
                await call_many(site, 150, f'm{done}', 'POST')
            memory.append((done, site.read_memory(ENTRY)))
        for count in (100, 200, 400):
            site.plan.table.reset()
            spent = await measure_processor(
                site,
                names,
                functools.partial(call_many, site, count, f'k{count}', 'POST'),
            )
            claimed.append((count, spent[ENTRY]))
            agent.append((count, spent[SERVICE]))
            written.append((count, site.plan.table.total))
            commits.append((count, site.plan.table.requests))
            spent = await measure_processor(
                site,
                names,
                functools.partial(call_many, site, count, '', 'GET'),
            )
            plain.append((count, spent[ENTRY]))
    return [
        make_slope_row('entry', 'claimed call', 'processor seconds', claimed),
        make_slope_row('entry', 'plain call', 'processor seconds', plain),
        make_slope_row('agent', 'call', 'processor seconds', agent),
        make_slope_row('entry', 'claim', 'bytes resident', memory),
        make_slope_row('entry', 'claim', 'bytes at the table', written),
        make_slope_row('entry', 'claim', 'requests at the table', commits),
    ]


async def stream_many(site: Site, streams: int, tokens: int) -> None:
    """Run several streams of a number of tokens concurrently."""
    await asyncio.gather(*(site.stream(tokens) for _ in range(streams)))


async def measure_tokens(streams: int, pace: float, per: str) -> list[Row]:
    """Measure processor time per token at entry daemon and agent.

    :param pace: seconds between two tokens of a stream.
    :param per: unit named in the rows.
    """
    found: Readings = {ENTRY: [], ENGINE: []}
    async with open_site(plan_engine(pace=pace)) as site:
        published = await site.publish(size=4096, chunk_size=1024)
        await site.apply(make_configuration(manifest=published.digest))
        await site.wait_for_answer(MODEL)
        await stream_many(site, streams, 20)
        for tokens in (50, 100, 200):
            work = functools.partial(stream_many, site, streams, tokens)
            spent = await measure_processor(site, (ENTRY, ENGINE), work)
            for name, seconds in spent.items():
                found[name].append((tokens * streams, seconds))
    return [
        make_slope_row(
            'entry' if name == ENTRY else 'agent',
            per,
            'processor seconds',
            points,
        )
        for name, points in found.items()
    ]


async def measure_paced_tokens() -> list[Row]:
    """Measure tokens that arrive one by one, as engines generate them."""
    return await measure_tokens(40, 0.02, 'token relayed one by one')


async def measure_dense_tokens() -> list[Row]:
    """Measure tokens that arrive without pauses."""
    return await measure_tokens(CONCURRENCY, 0, 'token relayed in bursts')


def make_attempt(number: int, generation: Generation) -> Attempt:
    """Make an attempt for the service without an engine."""
    return Attempt(
        attempt=AttemptId(f'attempt-{number}'),
        request=RequestId(f'entry-1-{number}'),
        account=ClientAccountName('account-00000'),
        weight=1,
        deployment=DeploymentName('renewals'),
        generation=generation,
        sender='127.0.0.1:1',
        idempotent=True,
        method='GET',
        path='/slow',
        headers={},
        body=b'',
        time_left=30,
        fingerprint=f'{number:016x}',
    )


async def measure_refusals() -> list[Row]:
    """Measure refusals of a gate whose only permit is in use."""
    points: list[tuple[float, float]] = []
    size = 0
    async with open_site(plan_service(latency=8)) as site:
        generation = await site.apply(make_configuration(warm=1))
        await site.wait_for_generation(SERVICE, generation)
        url = f'http://{site.plan.listen[SERVICE].peers}/attempts'

        async def start(number: int) -> int:
            attempt = make_attempt(number, generation)
            async with site.session.post(
                f'{url}/{attempt.attempt}', headers=encode_attempt(attempt)
            ) as answer:
                body = await answer.read()
                if answer.status == 200:
                    raise RuntimeError(
                        'gate admitted an attempt beyond its only permit'
                    )
                return len(body) + len(str(answer.raw_headers))

        holder = asyncio.create_task(start(0))
        await asyncio.sleep(1)
        number = 1
        for count in (100, 200, 400):

            async def refuse(first: int = number, n: int = count) -> None:
                nonlocal size
                for each in range(first, first + n):
                    size = await start(each)

            spent = await measure_processor(site, (SERVICE,), refuse)
            points.append((count, spent[SERVICE]))
            number += count
        holder.cancel()
        await asyncio.gather(holder, return_exceptions=True)
    return [
        make_slope_row('agent', 'gate refusal', 'processor seconds', points),
        make_value_row('agent', 'gate refusal', 'bytes of answer', size),
    ]


WORK_PARTS: Final[dict[str, Callable[[], Awaitable[list[Row]]]]] = {
    'idle': measure_idle,
    'watching': measure_watching,
    'changes': measure_changes,
    'claims': measure_claims,
    'refusals': measure_refusals,
    'tokens one by one': measure_paced_tokens,
    'tokens in bursts': measure_dense_tokens,
    'idle memory': read_idle,
}


def run_work_part(name: str) -> list[Row]:
    """Measure one part of processor time and bytes."""
    return asyncio.run(_await(WORK_PARTS[name]()))


async def _await(work: Awaitable[list[Row]]) -> list[Row]:
    return await work
