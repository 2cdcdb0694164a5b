"""What stood still in a soak: the machine, a process or its own loop.

``python -m fakes.soak_watch --folder FOLDER --parent PID`` writes a JSON line
four times a second until it is ended: how late the line is itself, and what
each process of the folder did meanwhile, by the kernel's counts.
"""

import asyncio
import dataclasses
import datetime as dt
import json
import os
import pathlib
import time
from collections.abc import Iterator
from typing import Any, Final

import click

PERIOD_SECONDS: Final = 0.25
LOOP_PERIOD_SECONDS: Final = 0.05
# Shorter ones are usual on a busy machine.
NOTED_SECONDS: Final = 0.2
SOAK: Final = 'soak'
PRESSURES: Final = ('cpu', 'memory', 'io')
WATCH_LOG: Final = 'watch.log'
STALLS_FILE: Final = 'stalls.jsonl'
PROC: Final = pathlib.Path('/proc')
NANOSECONDS: Final = 1e9
MICROSECONDS: Final = 1e6
# Of proc_pid_stat(5), counted from the state on.
STATE: Final = 0
MAJOR_FAULTS: Final = 9
# Of the first line of proc_stat(5).
STOLEN: Final = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Counts:
    """What the kernel says of a process's main thread.

    :param state: as in ``ps``; ``T`` for stopped, ``D`` for a wait that
        nothing interrupts.
    :param ran: seconds on a processor.
    :param waited: seconds in which it could run and had no processor.
    :param faults: pages that had to be read from disk.
    """

    state: str
    ran: float
    waited: float
    faults: int


def read_counts(pid: int) -> Counts | None:
    """Counts of one process; none where it has ended."""
    folder = PROC / str(pid)
    stat = read_text(folder / 'stat').rpartition(')')[2].split()
    times = read_text(folder / 'schedstat').split()
    if not (stat and times):
        return None
    return Counts(
        state=stat[STATE],
        ran=int(times[0]) / NANOSECONDS,
        waited=int(times[1]) / NANOSECONDS,
        faults=int(stat[MAJOR_FAULTS]),
    )


def find_processes(
    parent: int, folder: pathlib.Path
) -> Iterator[tuple[str, int]]:
    """Name and id of the parent and of its children with settings there."""
    yield SOAK, parent
    # Each thread has the children that it started.
    threads = (PROC / str(parent)).glob('task/*/children')
    pids = ' '.join(read_text(children) for children in threads)
    for pid in pids.split():
        command = read_text(PROC / pid / 'cmdline').rstrip('\0').split('\0')
        settings = pathlib.Path(command[-1])
        if settings.parent == folder and settings.suffix == '.toml':
            yield settings.stem, int(pid)


def read_text(path: pathlib.Path) -> str:
    """Content of a file of the kernel's; empty once its process has ended."""
    try:
        return path.read_text()
    except OSError:
        return ''


def read_pressure(kind: str) -> float:
    """Seconds in which some work waited for a resource; zero if unknown."""
    some = read_text(PROC / 'pressure' / kind).partition('\n')[0]
    return int(some.rpartition('=')[2] or 0) / MICROSECONDS


def read_stolen() -> float:
    """Seconds that the machine's host kept from its processors, summed."""
    total = read_text(PROC / 'stat').partition('\n')[0].split()
    return int(total[STOLEN]) / os.sysconf('SC_CLK_TCK')


class Watch:
    """Differences of the kernel's counts from one line to the next."""

    def __init__(self, *, parent: int, folder: pathlib.Path) -> None:
        self._parent = parent
        self._folder = folder
        self._counts: dict[int, Counts] = {}
        self._pressure = dict.fromkeys(PRESSURES, 0.0)
        self._stolen = 0.0
        self.take_line(0)

    def take_line(self, late: float) -> dict[str, Any]:
        """What happened since the last line."""
        now = {kind: read_pressure(kind) for kind in PRESSURES}
        pressure = {
            kind: round(now[kind] - self._pressure[kind], 3)
            for kind in PRESSURES
        }
        stolen = read_stolen()
        since, self._stolen = stolen - self._stolen, stolen
        self._pressure = now
        return {
            'at': name_moment(),
            'late': round(late, 3),
            'stolen': round(since, 3),
            'load': float((PROC / 'loadavg').read_text().split()[0]),
            'pressure': pressure,
            'processes': dict(self._list_processes()),
        }

    def _list_processes(self) -> Iterator[tuple[str, dict[str, Any]]]:
        counts: dict[int, Counts] = {}
        for name, pid in find_processes(self._parent, self._folder):
            read = read_counts(pid)
            if read is None:
                continue
            counts[pid] = read
            before = self._counts.get(pid, read)
            yield (
                name,
                {
                    'state': read.state,
                    'ran': round(read.ran - before.ran, 3),
                    'waited': round(read.waited - before.waited, 3),
                    'faults': read.faults - before.faults,
                },
            )
        self._counts = counts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stall:
    """A moment at which the soak's own loop stood still.

    :param at: its end, in the form of the daemons' logs.
    """

    at: str
    seconds: float


async def note_stalls(stalls: list[Stall]) -> None:
    """Note each time that this loop comes late, until cancelled."""
    while True:
        began_at = time.monotonic()
        await asyncio.sleep(LOOP_PERIOD_SECONDS)
        late = time.monotonic() - began_at - LOOP_PERIOD_SECONDS
        if late > NOTED_SECONDS:
            stalls.append(Stall(at=name_moment(), seconds=round(late, 3)))


def name_moment() -> str:
    """Time now, in the form of the daemons' logs."""
    return dt.datetime.now().astimezone().strftime('%Y-%m-%d %H:%M:%S,%f')[:-3]


def write_stalls(folder: pathlib.Path, stalls: list[Stall]) -> None:
    """Keep the stalls beside the daemons' logs."""
    lines = [json.dumps(dataclasses.asdict(stall)) for stall in stalls]
    (folder / STALLS_FILE).write_text('\n'.join(lines))


def read_watch(folder: pathlib.Path) -> list[dict[str, Any]]:
    """Lines of the watch of one soak, but one that was cut at its end.

    :raises ValueError: the watch failed.
    """
    text = (folder / WATCH_LOG).read_text()
    return [json.loads(line) for line in text.split('\n')[:-1]]


def describe_stalls(folder: pathlib.Path, stalls: list[Stall]) -> str:
    """The longest stand-still of each kind, in one line."""
    lines = read_watch(folder)
    waits = [
        (process['waited'], name)
        for line in lines
        for name, process in line['processes'].items()
    ]
    own = max((stall.seconds for stall in stalls), default=0)
    late = max((line['late'] for line in lines), default=0)
    stolen = max((line['stolen'] for line in lines), default=0)
    longest, name = max(waits, default=(0, 'nobody'))
    return (
        f'longest stand-still: own loop {own:.2f} s, machine {late:.2f} s, '
        f'{name} {longest:.2f} s without a processor, {stolen:.2f} s stolen'
    )


@click.command()
@click.option(
    '--folder', required=True, type=click.Path(path_type=pathlib.Path)
)
@click.option('--parent', required=True, type=int)
def main(folder: pathlib.Path, parent: int) -> None:
    """Write a line four times a second."""
    watch = Watch(parent=parent, folder=folder)
    while True:
        began_at = time.monotonic()
        time.sleep(PERIOD_SECONDS)
        late = time.monotonic() - began_at - PERIOD_SECONDS
        click.echo(json.dumps(watch.take_line(late)))


if __name__ == '__main__':
    main()
