"""What forwarders tell each other costs one of them, and a choice of target.

Handlers alone are timed: receiving from the socket comes on top.
"""

import asyncio
import time
from collections.abc import Callable, Iterator
from typing import Final

import aiohttp
import msgspec

from fakes.fleet_parts import (
    ENGINES,
    FAR,
    NEAR,
    SAME_REGION,
    make_forwarder,
    make_state,
    make_target,
    make_work,
)
from ragwortcourse.forwarding.choice import choose_target
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_exchange import LoadMessage, LoadReceiver
from ragwortcourse.identifiers import DaemonId, TargetName

Figure = str | int | float | bool | None
Row = dict[str, Figure]
# Forwarders and targets: a small fleet, a grown one, the size to design for.
SIZES: Final = ((7, 10), (45, 34), (350, 2300))
# Targets at which one daemon has requests.
BUSY: Final = 10
# More do not change the mean, but the time that a run takes.
MOST_PEERS: Final = 60
DOMAINS: Final = (NEAR, SAME_REGION, FAR)
SENDER: Final = ('127.0.0.1', 1)
MICROSECONDS: Final = 1e6


def make_busy(targets: int, session: aiohttp.ClientSession) -> Forwarder:
    """A forwarder in front of engines."""
    return make_forwarder(
        make_state(
            *(
                make_target(
                    f't-{number}',
                    failure_domain=DOMAINS[number % len(DOMAINS)],
                    service=ENGINES,
                )
                for number in range(targets)
            )
        ),
        session,
    )


def encode_words(daemons: int, targets: int) -> list[bytes]:
    """One message of each other daemon."""
    return [
        msgspec.json.encode(
            LoadMessage(
                daemon=DaemonId(f'entry-{peer}'),
                counts={
                    TargetName(f't-{(peer * 7 + step * 3) % targets}'): (2, 1)
                    for step in range(BUSY)
                },
                stable_for=3,
            )
        )
        for peer in range(1, min(daemons, MOST_PEERS))
    ]


def time_each(count: int, work: Callable[[int], object]) -> float:
    """Mean processor time of one call, in microseconds."""
    began = time.process_time()
    for number in range(count):
        work(number)
    return (time.process_time() - began) / count * MICROSECONDS


async def measure_size(daemons: int, targets: int, repeats: int) -> Row:
    """One row; figures in microseconds of processor time."""
    async with aiohttp.ClientSession() as session:
        forwarder = make_busy(targets, session)
        receiver = LoadReceiver(forwarder=forwarder)
        words = encode_words(daemons, targets)
        work = make_work(arrived_at=asyncio.get_running_loop().time())

        def receive(number: int) -> None:
            receiver.datagram_received(words[number % len(words)], SENDER)

        def choose(_: int) -> None:
            choose_target(forwarder, work, ENGINES, ())

        time_each(len(words), receive)
        for target in forwarder.state.targets.values():
            forwarder.find_load(target)
        return {
            'measure': 'fleet_loads',
            'daemons': daemons,
            'targets': targets,
            'received_us': round(time_each(repeats, receive), 1),
            'choice_us': round(time_each(repeats, choose), 1),
        }


def run(repeats: int = 2000) -> Iterator[Row]:
    """A row for each size of fleet."""
    for daemons, targets in SIZES:
        yield asyncio.run(measure_size(daemons, targets, repeats))
