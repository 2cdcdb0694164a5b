"""What the kernel says of a process."""

import pathlib
from typing import Final

KIB: Final = 1024
NANOSECONDS: Final = 1e-9


def read_resident(pid: int) -> int:
    """Resident memory in bytes."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KIB
    raise LookupError(f'no VmRSS for {pid}')


def read_processor(pid: int) -> float:
    """Processor seconds of all its threads so far."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return sum(
        int((task / 'schedstat').read_text().split()[0]) * NANOSECONDS
        for task in tasks
    )


def read_descriptors(pid: int) -> list[str]:
    """What its open descriptors lead to."""
    found = []
    for link in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        try:
            found.append(str(link.readlink()))
        except FileNotFoundError:
            continue
    return found


def read_children(pid: int) -> list[int]:
    """Its child processes."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return [
        int(child)
        for task in tasks
        for child in (task / 'children').read_text().split()
    ]
