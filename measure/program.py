"""Run measurements for ``make measure``, print and store their rows."""

import datetime as dt
import importlib
import pathlib
import subprocess
import sys
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

MEASURES: Final = (
    'relay',
    'claims',
    'outbox',
    'overload',
    'prefix',
    'service',
    'replicas',
    'pacing',
    'control',
    'spread',
    'fleet_loads',
    'restore',
)
RESULTS: Final = pathlib.Path(__file__).parent / 'results'

Figure = str | int | float | bool | None
Row = dict[str, Figure]


def read_commit() -> str:
    """Read the short id of the checked-out commit."""
    answer = subprocess.run(
        ('git', 'rev-parse', '--short', 'HEAD'),
        capture_output=True,
        text=True,
        check=False,
    )
    return answer.stdout.strip() or 'unknown'


def run_measure(name: str) -> None:
    """Run one measurement, print each row and append it to a file.

    :param name: name of a module of this package; its ``run`` yields rows.
    """
    module = importlib.import_module(f'measure.{name}')
    run: Callable[[], Iterator[Row]] = module.run
    stamp = dt.datetime.now(dt.UTC).isoformat(timespec='seconds')
    commit = read_commit()
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f'{name}.jsonl'
    with path.open('a') as lines:
        for row in run():
            print(msgspec.json.encode(row).decode(), flush=True)
            dated = {**row, 'date': stamp, 'commit': commit}
            lines.write(msgspec.json.encode(dated).decode() + '\n')


def main() -> None:
    """Run the measurements named on the command line."""
    wanted = sys.argv[1:] or ['all']
    names = MEASURES if 'all' in wanted else wanted
    for name in names:
        run_measure(name)


if __name__ == '__main__':
    main()
