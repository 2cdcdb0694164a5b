"""The schedule of faults of a soak, drawn from a seed."""

import dataclasses
import random

from fakes.soak_proxy import LinkFault

PROCESS_FAULTS = ('kill', 'pause', 'stop', 'hang up')
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
OPERATIONS = (
    'desired state',
    'revoke',
    'withdraw',
    'weights',
    'weights',
)
STORE_FAULTS = (
    'store down',
    'store silent',
    'history gone',
    'rows lapse',
    'origin down',
)
RESTORE = 'store restored'
MOST_RESTORES = 2
# Age of the copy that the store comes back from.
OLDEST_COPY_SECONDS = 10.0
SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault or one change by operators.

    :param at: seconds from the start of the schedule.
    :param whom: name of a daemon or of the link of a daemon or target; empty
        for a fault of the store or origin and for a change by operators.
    :param seconds: duration; of a restore the age of the copy.
    """

    at: float
    name: str
    whom: str
    seconds: float


def plan_faults(
    *, seed: int, seconds: float, daemons: list[str], links: list[str]
) -> list[Fault]:
    """Draw the faults in order of time; they come in bursts and may overlap."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = 1.0
    while at < seconds:
        duration = rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        name, whom = rng.choice(
            [
                (rng.choice(PROCESS_FAULTS), rng.choice(daemons)),
                (rng.choice(LINK_FAULTS).value, rng.choice(links)),
                (rng.choice(OPERATIONS), ''),
                (rng.choice(STORE_FAULTS), ''),
            ]
        )
        faults.append(Fault(at=at, name=name, whom=whom, seconds=duration))
        at += rng.choice(
            (0.05, rng.uniform(0.2, 1), rng.uniform(1, 3), rng.uniform(4, 9))
        )
    return sorted([*faults, *_plan_restores(seed, seconds)], key=_read_time)


def _plan_restores(seed: int, seconds: float) -> list[Fault]:
    """Draw the restores apart, so that the other faults of a seed remain."""
    rng = random.Random(f'{seed} restore')
    return [
        Fault(
            at=rng.uniform(1, seconds),
            name=RESTORE,
            whom='',
            seconds=rng.uniform(1, OLDEST_COPY_SECONDS),
        )
        for _ in range(rng.randint(0, MOST_RESTORES))
    ]


def _read_time(fault: Fault) -> float:
    return fault.at
