"""What control work costs each role: memory, processor time, bytes."""

import concurrent.futures
import multiprocessing
from collections.abc import Iterator
from typing import Final

from measure.control_memory import MEMORY_PARTS, run_memory_part
from measure.control_work import WORK_PARTS, run_work_part
from measure.program import Row

# Parts that run at once, each with its own daemons as processes; figures of
# processor time are the daemons' own, whatever else runs.
LANES: Final = 3


def run_part(name: str) -> list[Row]:
    """The figures of one part."""
    if name in MEMORY_PARTS:
        return run_memory_part(name)
    return run_work_part(name)


def run() -> Iterator[Row]:
    """Every figure that docs/CAPACITY.md is worked out from."""
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(
        LANES, mp_context=context
    ) as pool:
        for rows in pool.map(run_part, (*WORK_PARTS, *MEMORY_PARTS)):
            yield from rows
