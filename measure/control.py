"""What control work costs each role: memory, processor time, bytes."""

from collections.abc import Iterator

from measure.control_memory import run_memory
from measure.control_work import run_work
from measure.program import Row


def run() -> Iterator[Row]:
    """Every figure that docs/CAPACITY.md is worked out from."""
    yield from run_work()
    yield from run_memory()
