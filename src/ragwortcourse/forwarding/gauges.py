"""Gauges of the state and the retry budget of a forwarder."""

from collections.abc import Callable, Iterable
from typing import Final

from opentelemetry.metrics import CallbackOptions, Observation, get_meter

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.choice_refusals import is_limited, is_resting
from ragwortcourse.forwarding.forwarder import Forwarder

METER: Final = get_meter(__name__)


def watch_forwarder(forwarder: Forwarder) -> None:
    """Register the gauges of a forwarder."""
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
        'further tries that the own share of the window still allows',
        forwarder.safeguards.retry_budget.count_left,
    )
    _watch(
        'ragwortcourse.forwarding.weights_version',
        '',
        'newest version of weights that was named; zero for none',
        lambda: max(
            (named[-1].version for named in state.weights.values()), default=0
        ),
    )


def _watch(
    name: str, unit: str, description: str, read: Callable[[], float]
) -> None:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return (Observation(read()),)

    METER.create_observable_gauge(
        name, callbacks=(observe,), unit=unit, description=description
    )
