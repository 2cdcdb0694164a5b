"""Gauges of what a process holds for clients."""

from collections.abc import Callable, Iterable
from typing import Final

from opentelemetry.metrics import CallbackOptions, Observation, get_meter

from ragwortcourse.ingress.ingress import Ingress

METER: Final = get_meter(__name__)


def watch_ingress(ingress: Ingress) -> None:
    """Register the gauges of the budget and of connections."""
    _watch('held', 'By', 'held for clients', lambda: ingress.budget.used)
    _watch('budget', 'By', 'may be held', lambda: ingress.budget.total)
    _watch(
        'connections',
        '',
        'connections of clients',
        lambda: len(ingress.connections),
    )


def _watch(
    name: str, unit: str, description: str, read: Callable[[], int]
) -> None:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return (Observation(read()),)

    METER.create_observable_gauge(
        f'ragwortcourse.ingress.{name}',
        callbacks=(observe,),
        unit=unit,
        description=description,
    )
