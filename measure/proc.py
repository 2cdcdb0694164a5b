"""Readings of a process from /proc."""

import pathlib
from typing import Final

KIB: Final = 1024
NANOSECONDS: Final = 1e-9


def read_resident(pid: int) -> int:
    """Read the resident memory of a process, in bytes.

    :raises LookupError: the kernel reports none, as for a zombie process.
    """
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KIB
    raise LookupError(f'/proc/{pid}/status has no VmRSS')


def read_processor(pid: int) -> float:
    """Read the processor seconds that all threads have used so far."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return sum(
        int((task / 'schedstat').read_text().split()[0]) * NANOSECONDS
        for task in tasks
    )


def read_descriptors(pid: int) -> list[str]:
    """List the targets of the open file descriptors of a process."""
    found = []
    for link in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        try:
            found.append(str(link.readlink()))
        except FileNotFoundError:
            continue
    return found


def read_children(pid: int) -> list[int]:
    """List the ids of the child processes of a process."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return [
        int(child)
        for task in tasks
        for child in (task / 'children').read_text().split()
    ]
