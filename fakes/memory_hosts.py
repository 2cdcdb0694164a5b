"""The list of hosts in memory, with fault switches for each client."""

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
    """One client's way to a shared list, with that client's faults."""

    async def read() -> HostsListed | HostsUnavailable:
        fault = faults.take()
        await faults.wait()
        if fault in {None, Fault.SLOW}:
            return HostsListed(records=tuple(records))
        return HostsUnavailable(detail=f'list of hosts: {fault}')

    return HostListPort(read=read)
