"""Resources of running daemons in /proc, and traces across daemons."""

import asyncio
import pathlib
from collections.abc import Iterable

import pytest

from measure import proc
from measure.control_memory import read_idle
from measure.control_site import (
    ENGINE,
    ENTRY,
    SERVICE,
    Site,
    make_configuration,
    open_site,
    plan_engine,
    plan_service,
)

BUDGET_BYTES = 64_000_000
TRACE = '0af7651916cd43dd8448eb211c80319c'
CALLER_SPAN = 'b7ad6b7169203331'
HOPS = ['engine', 'ragwortcourse-agent', 'ragwortcourse-entry']
TRACE_SECONDS = 15
DAEMONS = (ENTRY, ENGINE, SERVICE)

pytestmark = pytest.mark.processes


async def deploy_model(site: Site) -> None:
    """Deploy a small model and wait until model and service answer."""
    published = await site.publish(size=4096, chunk_size=1024)
    await site.apply(make_configuration(manifest=published.digest))
    await site.wait_for_answer('drafts')
    await site.wait_for_answer('renewals')


def read_shared_mappings(pid: int) -> list[str]:
    """List the memory mappings that other processes may write."""
    lines = pathlib.Path(f'/proc/{pid}/maps').read_text().splitlines()
    return [line for line in lines if is_shared(line)]


def is_shared(line: str) -> bool:
    """Tell whether a mapping is shared and writable, or in /dev/shm."""
    flags = line.split()[1]
    return ('w' in flags and 's' in flags) or '/dev/shm' in line


def list_forbidden(pid: int) -> Iterable[str]:
    """List what a daemon must not hold: io_uring, children, shared memory."""
    yield from (
        link for link in proc.read_descriptors(pid) if 'io_uring' in link
    )
    yield from (f'child {child}' for child in proc.read_children(pid))
    yield from read_shared_mappings(pid)


def list_hops(spans: list[dict[str, str]]) -> list[str]:
    """List the services from the engine's span up to the caller's.

    :return: empty if the chain of parents does not reach the caller's span.
    """
    by_id = {span['span']: span for span in spans if span['span']}
    hops = [span for span in spans if span['service'] == 'engine'][:1]
    while hops and hops[-1]['parent'] in by_id:
        hops.append(by_id[hops[-1]['parent']])
    if not hops or hops[-1]['parent'] != CALLER_SPAN:
        return []
    return list(dict.fromkeys(hop['service'] for hop in hops))


class TestDaemonProcess:
    """Daemon processes under load and idle."""

    async def test_holds_nothing_that_is_ruled_out(self):
        """No io_uring, no child process, no shared memory, under load."""
        async with open_site(plan_engine(pace=0.01), plan_service()) as site:
            await deploy_model(site)
            streams = [asyncio.create_task(site.stream(300)) for _ in range(20)]
            await asyncio.gather(*(site.call(f'k{n}') for n in range(20)))
            pids = [site.fleet.children[name].pid for name in DAEMONS]
            found = [line for pid in pids for line in list_forbidden(pid)]
            await asyncio.gather(*streams)
        assert found == []

    async def test_idle_memory_is_within_the_budget(self):
        """Idle entry daemons and agents stay below 64 MB resident."""
        rows = await read_idle()
        assert all(row['value'] < BUDGET_BYTES for row in rows), rows


class TestTrace:
    """The trace of one request at the collector."""

    async def test_one_trace_crosses_every_hop(self):
        """The spans form one chain from the engine's to the caller's."""
        async with open_site(plan_engine(), collector=True) as site:
            published = await site.publish(size=4096, chunk_size=1024)
            await site.apply(make_configuration(manifest=published.digest))
            await site.wait_for_answer('drafts')
            context = f'00-{TRACE}-{CALLER_SPAN}-01'
            site.session.headers['traceparent'] = context
            await site.stream(5)
            url = f'http://{site.plan.collector}/traces'
            async with asyncio.timeout(TRACE_SECONDS):
                while True:
                    async with site.session.get(url) as answer:
                        spans = (await answer.json()).get(TRACE, [])
                    if list_hops(spans) == HOPS:
                        return
                    await asyncio.sleep(0.2)
