"""As ``replicas``, with more chunks and up to the stated number of hosts."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from measure.replicas import EIGHT, Case, Row, list_cases, run_together

CHUNKS: Final = 600
LARGE: Final = (480, 192, 96)


def list_long_cases() -> list[Case]:
    """Large runs first, as they take longest."""
    large = [
        Case(name='plain', hosts=hosts, places=EIGHT, chunks=CHUNKS)
        for hosts in LARGE
    ]
    return large + [
        dataclasses.replace(case, chunks=CHUNKS)
        for case in list_cases()
        if not case.alone
    ]


def run() -> Iterator[Row]:
    """Every long run's figures; takes a quarter of an hour or more."""
    yield from run_together(list_long_cases())
