"""Latency of live answers while weights use the same links.

Measured with and without pacing of the weights, relative to the latency of
the same answers without weights on the links.
"""

from collections.abc import Iterator
from typing import Final

import looptime

from fakes.live_landing import (
    CHUNK_BYTES,
    CHUNKS,
    LINK_RATE,
    LiveLatency,
    measure_live_answers,
)

Figure = str | int | float | bool | None
Row = dict[str, Figure]
# Limits that 95 of 100 live answers have to meet.
FIRST_SECONDS: Final = 0.65
GAP_SECONDS: Final = 0.048


def run_isolated(*, paced: bool, landing: bool) -> LiveLatency:
    """Run once in a separate loop in virtual time.

    :param paced: whether the transfer of weights is paced.
    :param landing: whether weights are transferred at all.
    """
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(
            measure_live_answers(paced=paced, landing=landing)
        )
    finally:
        loop.close()


def run() -> Iterator[Row]:
    """Yield a row without pacing and one with it."""
    alone = run_isolated(paced=False, landing=False)
    floor = CHUNKS * CHUNK_BYTES / LINK_RATE
    for paced in (False, True):
        beside = run_isolated(paced=paced, landing=True)
        yield {
            'measure': 'pacing',
            'paced': paced,
            'first_ratio': round(beside.first_seconds / alone.first_seconds, 3),
            'gap_ratio': round(beside.gap_seconds / alone.gap_seconds, 3),
            'first_to_target': round(beside.first_seconds / FIRST_SECONDS, 3),
            'gap_to_target': round(beside.gap_seconds / GAP_SECONDS, 3),
            'landing_ratio': round(beside.seconds / floor, 3),
        }
