"""The schedule of faults of a soak, drawn from a seed."""

import dataclasses
import random
from collections.abc import Iterator, Sequence

from fakes.soak_operation import Operation
from fakes.soak_proxy import LinkFault
from fakes.soak_records import PlannedKind

PAUSE = 'pause'
PROCESS_FAULTS = ('kill', PAUSE, PlannedKind.STOP, PlannedKind.HANG_UP)
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
OPERATIONS = (
    Operation.DESIRED_STATE,
    Operation.REVOKE,
    Operation.WITHDRAW,
    Operation.WEIGHTS,
    Operation.WEIGHTS,
)
STORE_FAULTS = (
    'store down',
    'store silent',
    Operation.HISTORY_GONE,
    'rows lapse',
    Operation.ORIGIN_DOWN,
)
RESTORE = 'store restored'
# Changes in quick succession, beside other planned work.
CHANGES = (
    Operation.DROP_ROUTE,
    Operation.SPLIT,
    Operation.TIMEOUTS,
    Operation.GRANT,
    Operation.REVOKE,
    Operation.WITHDRAW_BRIEFLY,
)
# Each new version stops every engine for a time.
WEIGHTS_SHARE = 0.08
HALF_SILENT = 'half silent'
# What leaves every link, daemon and target sound.
HARMLESS = frozenset((*Operation, HALF_SILENT)) - {Operation.HISTORY_GONE}
PLANNED = HARMLESS | {PlannedKind.STOP, PlannedKind.HANG_UP}
SERIES_SECONDS = (1.5, 5.0)
QUIET_SECONDS = (0.5, 3.0)
SILENT_SECONDS = (0.3, 1.8)
MOST_RESTORES = 2
MOST_CUTS_OF_READERS = 2
# Longer and shorter than calls of readers to the store.
CUT_SECONDS = (1.0, 8.0)
MOST_DEPARTURES = 4
LEAVING_SECONDS = (3.0, 6.0)
LEAVING_AFTER_SECONDS = 0.5
# New versions of weights beside those that other faults draw.
NAMINGS = (1, 4)
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
    *,
    seed: int,
    seconds: float,
    daemons: list[str],
    links: list[str],
    reader_links: Sequence[str] = (),
) -> list[Fault]:
    """Draw the faults in order of time; they come in bursts and may overlap.

    :param reader_links: links that are cut together besides.
    """
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
    return sorted(
        [
            *faults,
            *_plan_restores(seed, seconds),
            *_plan_namings(seed, seconds),
            *_plan_cuts(seed, seconds, reader_links),
            *_plan_departures(seed, seconds),
        ],
        key=_read_time,
    )


def plan_changes(
    *, seed: int, seconds: float, daemons: list[str], services: list[str]
) -> list[Fault]:
    """Draw planned work in order of time.

    Series of changes and signals overlap; quiet times lie between them.
    """
    rng = random.Random(f'{seed} changes')
    faults: list[Fault] = []
    at = 0.5
    while at < seconds:
        ends_at = at + rng.uniform(*SERIES_SECONDS)
        faults.extend(_plan_signals(rng, at, ends_at, daemons))
        faults.append(
            Fault(
                at=rng.uniform(at, ends_at),
                name=HALF_SILENT,
                whom=rng.choice(services),
                seconds=rng.uniform(*SILENT_SECONDS),
            )
        )
        while at < ends_at:
            faults.append(
                Fault(
                    at=at,
                    name=_draw_change(rng),
                    whom='',
                    seconds=rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS),
                )
            )
            at += rng.choice((0.02, rng.uniform(0.1, 0.5), rng.uniform(0.3, 1)))
        at = ends_at + rng.uniform(*QUIET_SECONDS)
    return sorted([*faults, *_plan_departures(seed, seconds)], key=_read_time)


def _draw_change(rng: random.Random) -> Operation:
    change = rng.choice(CHANGES)
    return Operation.WEIGHTS if rng.random() < WEIGHTS_SHARE else change


def _plan_signals(
    rng: random.Random, begins_at: float, ends_at: float, daemons: list[str]
) -> Iterator[Fault]:
    """Draw planned stops and hang-ups of some daemons, each a series."""
    name = rng.choice((PlannedKind.STOP, PlannedKind.STOP, PlannedKind.HANG_UP))
    whom = rng.sample(daemons, rng.randint(1, min(3, len(daemons))))
    at = rng.uniform(begins_at, ends_at)
    for daemon in whom:
        yield Fault(at=at, name=name, whom=daemon, seconds=0)
        for _ in range(rng.randint(0, 3)):
            late = at + rng.uniform(0, 0.6)
            yield Fault(
                at=late, name=PlannedKind.HANG_UP, whom=daemon, seconds=0
            )
        at += rng.uniform(0.1, 2)


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


def _plan_namings(seed: int, seconds: float) -> list[Fault]:
    """Draw new versions of weights apart, for engines in trouble."""
    rng = random.Random(f'{seed} namings')
    return [
        Fault(
            at=rng.uniform(1, seconds),
            name=Operation.WEIGHTS,
            whom='',
            seconds=0,
        )
        for _ in range(rng.randint(*NAMINGS))
    ]


def _plan_cuts(
    seed: int, seconds: float, links: Sequence[str]
) -> Iterator[Fault]:
    """Draw times at which all of some links lose what they carry.

    A target leaves just after each of them.
    """
    rng = random.Random(f'{seed} cuts of readers')
    for _ in range(rng.randint(0, MOST_CUTS_OF_READERS)):
        at, lasts = rng.uniform(1, seconds), rng.uniform(*CUT_SECONDS)
        for link in links:
            yield Fault(
                at=at, name=LinkFault.SILENT.value, whom=link, seconds=lasts
            )
        if links:
            yield Fault(
                at=at + rng.uniform(0, LEAVING_AFTER_SECONDS),
                name=Operation.LEAVE,
                whom='',
                seconds=max(LEAVING_SECONDS),
            )


def _plan_departures(seed: int, seconds: float) -> list[Fault]:
    """Draw targets that leave, each until it comes back."""
    rng = random.Random(f'{seed} departures')
    return [
        Fault(
            at=rng.uniform(1, seconds),
            name=Operation.LEAVE,
            whom='',
            seconds=rng.uniform(*LEAVING_SECONDS),
        )
        for _ in range(rng.randint(1, MOST_DEPARTURES))
    ]


def _read_time(fault: Fault) -> float:
    return fault.at
