"""Which faults a soak injects, drawn from its seed."""

import dataclasses
import random

from fakes.soak_proxy import Harm

SIGNALS = ('kill', 'pause', 'stop', 'hang up')
LINKS = tuple(harm for harm in Harm if harm is not Harm.NONE)
OPERATIONS = (
    'desired state',
    'revoke',
    'withdraw',
    'weights',
    'weights',
)
STORE = (
    'store down',
    'store silent',
    'history gone',
    'rows lapse',
    'origin down',
)
SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault, or one change of the operators.

    :param at: seconds from the beginning.
    :param whom: name of a daemon, of a daemon's or target's link; empty
        where there is only one.
    """

    at: float
    name: str
    whom: str
    seconds: float


def plan_faults(
    *, seed: int, seconds: float, daemons: list[str], links: list[str]
) -> list[Fault]:
    """Faults in order; they come in series and overlap."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = 1.0
    while at < seconds:
        lasting = rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        name, whom = rng.choice(
            [
                (rng.choice(SIGNALS), rng.choice(daemons)),
                (rng.choice(LINKS).value, rng.choice(links)),
                (rng.choice(OPERATIONS), ''),
                (rng.choice(STORE), ''),
            ]
        )
        faults.append(Fault(at=at, name=name, whom=whom, seconds=lasting))
        at += rng.choice(
            (0.05, rng.uniform(0.2, 1), rng.uniform(1, 3), rng.uniform(4, 9))
        )
    return faults
