"""Detection of stalls in a soak: of the machine, a process or its event loop.

``python -m fakes.soak_watch --folder FOLDER --parent PID`` writes a JSON line
four times a second until the process is ended. The line states its own delay
and the activity of each process of the folder since the last line, from
counters of the kernel.
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
# Shorter stalls are usual on a busy machine.
NOTED_SECONDS: Final = 0.2
SOAK: Final = 'soak'
PRESSURES: Final = ('cpu', 'memory', 'io')
WATCH_LOG: Final = 'watch.log'
STALLS_FILE: Final = 'stalls.jsonl'
PROC: Final = pathlib.Path('/proc')
NANOSECONDS: Final = 1e9
MICROSECONDS: Final = 1e6
# Fields of proc_pid_stat(5), counted from the state.
STATE: Final = 0
MAJOR_FAULTS: Final = 9
# Field of the first line of proc_stat(5).
STEAL: Final = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Counts:
    """Kernel counters of the main thread of a process.

    :param state: as in ``ps``; ``T`` for stopped, ``D`` for uninterruptible
        sleep.
    :param ran: seconds on a processor.
    :param waited: seconds runnable without a processor.
    :param faults: major page faults, which read from disk.
    """

    state: str
    ran: float
    waited: float
    faults: int


def read_counts(pid: int) -> Counts | None:
    """Read the counters of one process; none if the process has ended."""
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
    """Find the parent and its children with a settings file in the folder.

    :return: pairs of name and process id.
    """
    yield SOAK, parent
    # The kernel lists children under the thread that started them.
    threads = (PROC / str(parent)).glob('task/*/children')
    pids = ' '.join(read_text(children) for children in threads)
    for pid in pids.split():
        command = read_text(PROC / pid / 'cmdline').rstrip('\0').split('\0')
        settings = pathlib.Path(command[-1])
        if settings.parent == folder and settings.suffix == '.toml':
            yield settings.stem, int(pid)


def read_text(path: pathlib.Path) -> str:
    """Read a file below ``/proc``; empty if its process has ended."""
    try:
        return path.read_text()
    except OSError:
        return ''


def read_pressure(kind: str) -> float:
    """Read the seconds in which some task waited for a resource.

    :return: total since boot; zero if the kernel does not report the resource.
    """
    some = read_text(PROC / 'pressure' / kind).partition('\n')[0]
    return int(some.rpartition('=')[2] or 0) / MICROSECONDS


def read_stolen() -> float:
    """Read the steal time of a virtual machine, summed over its processors.

    :return: seconds since boot.
    """
    total = read_text(PROC / 'stat').partition('\n')[0].split()
    return int(total[STEAL]) / os.sysconf('SC_CLK_TCK')


class Watch:
    """Differences of kernel counters from one line to the next."""

    def __init__(self, *, parent: int, folder: pathlib.Path) -> None:
        self._parent = parent
        self._folder = folder
        self._counts: dict[int, Counts] = {}
        self._pressure = dict.fromkeys(PRESSURES, 0.0)
        self._stolen = 0.0
        self.take_line(0)

    def take_line(self, late: float) -> dict[str, Any]:
        """Collect the differences since the last line.

        :param late: seconds by which this line is late.
        """
        now = {kind: read_pressure(kind) for kind in PRESSURES}
        pressure = {
            kind: round(now[kind] - self._pressure[kind], 3)
            for kind in PRESSURES
        }
        stolen = read_stolen()
        since, self._stolen = stolen - self._stolen, stolen
        self._pressure = now
        return {
            'at': format_now(),
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
    """A stall of the event loop of the soak.

    :param at: end of the stall, in the time format of the logs of daemons.
    """

    at: str
    seconds: float


async def record_stalls(stalls: list[Stall]) -> None:
    """Append each stall of the running event loop, until cancelled."""
    while True:
        began_at = time.monotonic()
        await asyncio.sleep(LOOP_PERIOD_SECONDS)
        late = time.monotonic() - began_at - LOOP_PERIOD_SECONDS
        if late > NOTED_SECONDS:
            stalls.append(Stall(at=format_now(), seconds=round(late, 3)))


def format_now() -> str:
    """Format the present time as in the logs of daemons."""
    return dt.datetime.now().astimezone().strftime('%Y-%m-%d %H:%M:%S,%f')[:-3]


def write_stalls(folder: pathlib.Path, stalls: list[Stall]) -> None:
    """Write the stalls to a file beside the logs of daemons."""
    lines = [json.dumps(dataclasses.asdict(stall)) for stall in stalls]
    (folder / STALLS_FILE).write_text('\n'.join(lines))


def read_watch(folder: pathlib.Path) -> list[dict[str, Any]]:
    """Read the lines of the watch of one soak, without an incomplete last one.

    :raises ValueError: a line is not JSON, because the watch failed.
    """
    text = (folder / WATCH_LOG).read_text()
    return [json.loads(line) for line in text.split('\n')[:-1]]


def describe_stalls(folder: pathlib.Path, stalls: list[Stall]) -> str:
    """Describe the longest stall of each kind, in one line."""
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
