"""``make measure``: runs measurements, prints and keeps their figures."""

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
)
RESULTS: Final = pathlib.Path(__file__).parent / 'results'

Figure = str | int | float | bool | None
Row = dict[str, Figure]


def read_commit() -> str:
    """Short id of the commit that is checked out."""
    answer = subprocess.run(
        ('git', 'rev-parse', '--short', 'HEAD'),
        capture_output=True,
        text=True,
        check=False,
    )
    return answer.stdout.strip() or 'unknown'


def run_measure(name: str) -> None:
    """Run one measurement; each row goes to standard output and a file.

    :param name: module of this package whose ``run`` yields rows.
    """
    module = importlib.import_module(f'measure.{name}')
    run: Callable[[], Iterator[Row]] = module.run
    stamp = dt.datetime.now(dt.UTC).isoformat(timespec='seconds')
    commit = read_commit()
    RESULTS.mkdir(exist_ok=True)
    kept = RESULTS / f'{name}.jsonl'
    with kept.open('a') as lines:
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
