"""The measurement ``replicas`` with more chunks and up to 480 hosts."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from measure.replicas import EIGHT, Case, Row, list_cases, run_together

CHUNKS: Final = 600
LARGE_FLEETS: Final = (480, 192, 96)


def list_long_cases() -> list[Case]:
    """List the cases, the large ones first because they take longest."""
    large = [
        Case(name='plain', hosts=hosts, places=EIGHT, chunks=CHUNKS)
        for hosts in LARGE_FLEETS
    ]
    return large + [
        dataclasses.replace(case, chunks=CHUNKS)
        for case in list_cases()
        if not case.alone
    ]


def run() -> Iterator[Row]:
    """Yield the rows of the long cases, in a quarter of an hour or more."""
    yield from run_together(list_long_cases())
