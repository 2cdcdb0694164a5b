"""Resident memory of idle daemons, and per object that a daemon holds."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from measure.control_site import (
    ENGINE,
    ENTRY,
    SERVICE,
    make_configuration,
    open_site,
    plan_engine,
    plan_service,
)
from measure.fit import fit_line
from measure.program import Row

SETTLE_SECONDS = 3.0
Readings = dict[str, list[tuple[float, float]]]


def make_slope_row(
    role: str, per: str, unit: str, points: list[tuple[float, float]]
) -> Row:
    """Fit a line through points and return its slope as a row.

    :param points: pairs of size and reading.
    """
    sizes = [size for size, _ in points]
    line = fit_line(sizes, [found for _, found in points])
    return {
        'measure': 'control',
        'role': role,
        'per': per,
        'unit': unit,
        'slope': float(f'{line.slope:.6g}'),
        'error': float(f'{line.error:.3g}'),
        'at_zero': float(f'{line.start:.6g}'),
        'sizes': ','.join(f'{size:g}' for size in sizes),
    }


async def read_idle() -> list[Row]:
    """Read the resident memory of idle daemons with a configuration."""
    async with open_site(plan_engine(), plan_service()) as site:
        generation = await site.apply(make_configuration())
        await site.wait_for_generation(SERVICE, generation)
        await asyncio.sleep(SETTLE_SECONDS)
        roles = {ENTRY: 'entry', ENGINE: 'agent', SERVICE: 'agent of a service'}
        return [
            {
                'measure': 'control',
                'role': role,
                'per': 'idle',
                'unit': 'bytes resident',
                'value': site.read_memory(name),
            }
            for name, role in roles.items()
        ]


async def read_accounts(count: int) -> dict[str, tuple[float, float]]:
    """Read the memory of entry daemon and agent with client accounts."""
    async with open_site(plan_service()) as site:
        generation = await site.apply(make_configuration(accounts=count))
        await site.wait_for_generation(SERVICE, generation)
        await asyncio.sleep(SETTLE_SECONDS)
        return {
            'entry': (count, site.read_memory(ENTRY)),
            'agent': (count, site.read_memory(SERVICE)),
        }


async def read_generations() -> Readings:
    """Read memory after 100, 200 and 300 accepted configurations."""
    found: Readings = {'entry': [], 'agent': []}
    async with open_site(plan_service()) as site:
        for accepted in range(1, 301):
            generation = await site.apply(make_configuration(accounts=100))
            if accepted % 100 == 0:
                await site.wait_for_generation(SERVICE, generation)
                await asyncio.sleep(1)
                found['entry'].append((accepted, site.read_memory(ENTRY)))
                found['agent'].append((accepted, site.read_memory(SERVICE)))
    return found


async def read_streams() -> Readings:
    """Read memory with 0, 50 and 100 open streams."""
    found: Readings = {'entry': [], 'agent': []}
    async with open_site(plan_engine(pace=0.2)) as site:
        published = await site.publish(size=4096, chunk_size=1024)
        await site.apply(make_configuration(manifest=published.digest))
        await site.wait_for_answer('drafts')
        streams: list[asyncio.Task[int]] = []
        for count in (0, 50, 100):
            streams.extend(
                asyncio.create_task(site.stream(3000))
                for _ in range(count - len(streams))
            )
            await asyncio.sleep(2)
            found['entry'].append((count, site.read_memory(ENTRY)))
            found['agent'].append((count, site.read_memory(ENGINE)))
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
    return found


async def read_chunks(count: int) -> dict[str, tuple[float, float]]:
    """Read the memory of an agent that holds chunks of 256 bytes."""
    async with open_site(plan_engine()) as site:
        published = await site.publish(size=count * 256, chunk_size=256)
        await site.apply(make_configuration(manifest=published.digest))
        await site.wait_for_answer('drafts')
        await asyncio.sleep(SETTLE_SECONDS)
        return {'agent': (count, site.read_memory(ENGINE))}


async def read_list_length(count: int) -> dict[str, tuple[float, float]]:
    """Read the memory of an entry daemon that watches listed hosts."""
    async with open_site(silent=count) as site:
        await site.apply(make_configuration())
        await asyncio.sleep(SETTLE_SECONDS)
        return {'entry': (count, site.read_memory(ENTRY))}


async def read_sizes(
    read: Callable[[int], Awaitable[dict[str, tuple[float, float]]]],
    sizes: tuple[int, ...],
) -> Readings:
    """Read several sizes concurrently, each at a site of its own.

    :return: pairs of size and reading for each role.
    """
    found: Readings = {}
    for reading in await asyncio.gather(*(read(size) for size in sizes)):
        for role, point in reading.items():
            found.setdefault(role, []).append(point)
    return found


async def read_list_lengths() -> Readings:
    """Read memory at several lengths of the list of hosts."""
    return await read_sizes(read_list_length, (0, 1000, 2650))


async def read_client_accounts() -> Readings:
    """Read memory at several numbers of client accounts."""
    return await read_sizes(read_accounts, (10, 1000, 2000, 4000))


async def read_chunk_records() -> Readings:
    """Read memory at several numbers of small chunks."""
    return await read_sizes(read_chunks, (64, 512, 1024))


MEMORY_PARTS: Final[dict[str, Callable[[], Awaitable[Readings]]]] = {
    'generation': read_generations,
    'open stream': read_streams,
    'listed host': read_list_lengths,
    'client account': read_client_accounts,
    'chunk record': read_chunk_records,
}


def run_memory_part(name: str) -> list[Row]:
    """Measure one part of memory and return a slope for each role.

    The slope per watched target is a row of the part ``watching``.
    """
    found = asyncio.run(_await(MEMORY_PARTS[name]()))
    return [
        make_slope_row(role, name, 'bytes resident', points)
        for role, points in found.items()
    ]


async def _await(work: Awaitable[Readings]) -> Readings:
    return await work
