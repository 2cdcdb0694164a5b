"""Processor time of one load message received and of one target choice.

Forwarders send each other load messages. Only the handlers are timed, without
the reads from the socket.
"""

import asyncio
import time
from collections.abc import Callable, Iterator
from typing import Final

import aiohttp
import msgspec

from fakes.fleet_parts import (
    ENGINES,
    FAR_DOMAIN,
    NEAR_DOMAIN,
    SAME_REGION,
    make_forwarder,
    make_permitted_call,
    make_state,
    make_target,
)
from ragwortcourse.forwarding.choice import choose_target
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_exchange import (
    LoadReceiver,
)
from ragwortcourse.forwarding.load_messages import (
    LoadMessage,
)
from ragwortcourse.identifiers import DaemonId, TargetName

Figure = str | int | float | bool | None
Row = dict[str, Figure]
# Forwarders and targets of a small fleet, a larger one and the target size.
SIZES: Final = ((7, 10), (45, 34), (350, 2300))
# Number of targets at which one daemon has requests.
BUSY_TARGETS: Final = 10
# Messages of more peers lengthen the run and leave the mean unchanged.
MAX_PEERS: Final = 60
DOMAINS: Final = (NEAR_DOMAIN, SAME_REGION, FAR_DOMAIN)
SENDER: Final = ('127.0.0.1', 1)
MICROSECONDS: Final = 1e6


def make_engine_forwarder(
    targets: int, session: aiohttp.ClientSession
) -> Forwarder:
    """Make a forwarder in front of engines."""
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


def encode_messages(daemons: int, targets: int) -> list[bytes]:
    """Encode one load message of each other daemon."""
    return [
        msgspec.json.encode(
            LoadMessage(
                daemon=DaemonId(f'entry-{peer}'),
                counts={
                    TargetName(f't-{(peer * 7 + step * 3) % targets}'): (2, 1)
                    for step in range(BUSY_TARGETS)
                },
                stable_for=3,
            )
        )
        for peer in range(1, min(daemons, MAX_PEERS))
    ]


def time_each(count: int, work: Callable[[int], object]) -> float:
    """Return the mean processor time of one call, in microseconds."""
    began = time.process_time()
    for number in range(count):
        work(number)
    return (time.process_time() - began) / count * MICROSECONDS


async def measure_size(daemons: int, targets: int, repeats: int) -> Row:
    """Measure one size of fleet, in microseconds of processor time."""
    async with aiohttp.ClientSession() as session:
        forwarder = make_engine_forwarder(targets, session)
        receiver = LoadReceiver(forwarder=forwarder)
        messages = encode_messages(daemons, targets)
        call = make_permitted_call(arrived_at=asyncio.get_running_loop().time())

        def receive(number: int) -> None:
            receiver.datagram_received(messages[number % len(messages)], SENDER)

        def choose(_: int) -> None:
            choose_target(forwarder, call, ENGINES, ())

        time_each(len(messages), receive)
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
    """Yield a row for each size of fleet.

    :param repeats: timed calls of each handler.
    """
    for daemons, targets in SIZES:
        yield asyncio.run(measure_size(daemons, targets, repeats))
