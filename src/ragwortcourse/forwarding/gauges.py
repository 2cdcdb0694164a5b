"""Gauges of the state and the retry budget of a forwarder."""

from collections.abc import Callable, Iterable
from typing import Final

from opentelemetry.metrics import CallbackOptions, Observation, get_meter

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.choice_refusals import is_limited, is_resting
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.retries.fleet_retry_budget import (
    FleetRetryBudget,
)
from ragwortcourse.forwarding.scheduling.scheduling_metrics import (
    watch_scheduling,
)

METER: Final = get_meter(__name__)


def watch_forwarder(forwarder: Forwarder) -> None:
    """Register the gauges of a forwarder."""
    watch_scheduling(forwarder.scheduling)
    state = forwarder.state
    _watch(
        'ragwortcourse.forwarding.desired_state_age',
        's',
        'since the desired state was confirmed as the newest',
        state.read_age,
    )
    _watch(
        'ragwortcourse.forwarding.desired_state_version',
        '',
        'version of the desired state in force; zero for none',
        lambda: 0 if state.desired is None else state.desired.version,
    )
    _watch(
        'ragwortcourse.forwarding.limited_targets',
        '',
        'targets that name a limit on their requests',
        lambda: sum(
            is_limited(forwarder, target) for target in state.targets.values()
        ),
    )
    _watch(
        'ragwortcourse.forwarding.resting_targets',
        '',
        'targets that want nothing from this daemon for now',
        lambda: sum(
            is_resting(forwarder, target) for target in state.targets.values()
        ),
    )
    _watch(
        'ragwortcourse.forwarding.slow_targets',
        '',
        'targets whose machines are known to be slow for now',
        lambda: forwarder.balancing.paces.count_slow(read_clock()),
    )
    _watch(
        'ragwortcourse.forwarding.targets',
        '',
        'targets that are listed',
        lambda: len(state.targets),
    )
    _watch(
        'ragwortcourse.forwarding.running',
        '',
        'requests of callers under way',
        lambda: forwarder.running,
    )
    _watch(
        'ragwortcourse.forwarding.retries_left',
        '',
        'further tries that own and borrowed shares still allow',
        forwarder.safeguards.retry_budget.count_left,
    )
    _watch_retries(forwarder.safeguards.retry_budget)
    _watch_weights(state)


def _watch_retries(budget: FleetRetryBudget) -> None:
    """Register the gauges of the shares of the retry budget."""
    _watch(
        'ragwortcourse.forwarding.retries_own',
        '',
        'further tries of the own share in the last window',
        budget.count_used,
    )
    _watch(
        'ragwortcourse.forwarding.retries_borrowed',
        '',
        'further tries that other daemons have lent and that are left',
        lambda: budget.borrowed.count_left(budget.read_now()),
    )
    _watch(
        'ragwortcourse.forwarding.retries_lent',
        '',
        'further tries that are lent to other daemons',
        lambda: budget.lent.count_held(budget.read_now()),
    )


def _watch_weights(state: FleetState) -> None:
    """Register the gauge of the newest version of each model."""

    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return tuple(
            Observation(named[-1].version, {'model': model})
            for model, named in state.weights.items()
        )

    METER.create_observable_gauge(
        'ragwortcourse.forwarding.weights_version',
        callbacks=(observe,),
        description='newest version of weights that was named, by model',
    )


def _watch(
    name: str, unit: str, description: str, read: Callable[[], float]
) -> None:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return (Observation(read()),)

    METER.create_observable_gauge(
        name, callbacks=(observe,), unit=unit, description=description
    )
