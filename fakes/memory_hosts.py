"""In-memory list of hosts with fault switches for each client."""

from fakes.faults import Fault, Faults
from ragwortcourse.membership.hosts import (
    HostListPort,
    HostRecord,
    HostsListed,
    HostsUnavailable,
)


def build_memory_hosts(
    *, records: list[HostRecord], faults: Faults
) -> HostListPort:
    """Build one client's port to a shared list, with its own faults."""

    async def read() -> HostsListed | HostsUnavailable:
        fault = faults.take()
        await faults.wait()
        if fault in {None, Fault.SLOW}:
            return HostsListed(records=tuple(records))
        return HostsUnavailable(detail=f'list of hosts: {fault}')

    return HostListPort(read=read)
