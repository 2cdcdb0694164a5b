"""Memory, processor time and bytes that control work costs each role."""

import concurrent.futures
import multiprocessing
from collections.abc import Iterator
from typing import Final

from measure.control_memory import MEMORY_PARTS, run_memory_part
from measure.control_work import WORK_PARTS, run_work_part
from measure.program import Row

# Parallel parts do not distort the figures: each part starts daemons of its
# own, and processor time is read for each daemon process.
WORKERS: Final = 3


def run_part(name: str) -> list[Row]:
    """Measure one part and return its rows."""
    if name in MEMORY_PARTS:
        return run_memory_part(name)
    return run_work_part(name)


def run() -> Iterator[Row]:
    """Yield the rows that docs/CAPACITY.md is calculated from."""
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(
        WORKERS, mp_context=context
    ) as pool:
        for rows in pool.map(run_part, (*WORK_PARTS, *MEMORY_PARTS)):
            yield from rows
