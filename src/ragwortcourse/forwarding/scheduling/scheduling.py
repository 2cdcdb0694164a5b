"""Measurements by which requests are scheduled by their urgency."""

import logging
from collections.abc import Callable, Mapping
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.call import NO_ACCOUNT, PermittedCall
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.reply import STOPPING
from ragwortcourse.forwarding.scheduling.activation import is_scheduled
from ragwortcourse.forwarding.scheduling.fleet_demand import (
    FleetDemand,
    estimate_rates,
)
from ragwortcourse.forwarding.scheduling.service_demand import ServiceDemand
from ragwortcourse.forwarding.scheduling.service_scheduling import (
    ServiceScheduling,
)
from ragwortcourse.forwarding.scheduling.urgent_counts import UrgentCounts
from ragwortcourse.forwarding.urgency import URGENCIES, read_urgency
from ragwortcourse.identifiers import DaemonId, ServiceName, TargetName

# Listed targets are counted again after this time at the earliest.
COUNT_SECONDS: Final = 0.25
# Requests that leave slots free may be this far apart.
RESERVING_SECONDS: Final = 2.0
# One decimal of a rate is exact to a fraction of a slot.
RATE_DIGITS: Final = 1

LOGGER: Final = logging.getLogger(__name__)


def _report_no_pace(service: ServiceName) -> bool:
    """Take the targets of a service to report no pace."""
    return False


class Scheduling:
    """Demand by urgency of own callers and, as reported, of all others.

    ``unanswered`` counts the unanswered requests at each target, and
    ``services`` has the services that are scheduled.

    :param count_daemons: counts the registered daemons.
    :param reports_pace: tells whether targets of a service report their pace.
    """

    def __init__(
        self,
        *,
        state: FleetState,
        count_daemons: Callable[[], int],
        reports_pace: Callable[[ServiceName], bool] = _report_no_pace,
    ) -> None:
        self.unanswered = UrgentCounts()
        self.others = FleetDemand()
        self._state = state
        self._count_daemons = count_daemons
        self._reports_pace = reports_pace
        self._desired: DesiredState | None = None
        self.services: dict[ServiceName, ServiceScheduling] = {}

    def find(self, service: ServiceName) -> ServiceScheduling | None:
        """Find the measurements of a service; none if it is not scheduled."""
        self._apply_desired()
        known = self.services.get(service)
        if known is None and self._reports_pace(service):
            # Targets report their pace some time after they were listed.
            known = self.services.setdefault(service, ServiceScheduling())
        return known

    def note_arrival(self, service: ServiceName, work: PermittedCall) -> None:
        """Count a request that arrives in time."""
        known = self.find(service)
        if known is not None:
            now = read_clock()
            known.demand.note_arrival(_read_urgency(work), now)
            known.shares.note_arrival(list_kinds(work), now)

    def note_sent(
        self,
        service: ServiceName,
        work: PermittedCall,
        target: TargetName,
        *,
        is_first: bool,
    ) -> Callable[[], None]:
        """Count a request that is sent to a target.

        :param is_first: true if it was sent to no other target before.
        :return: to be called at the beginning of its answer, or at its end.
        """
        known = self.find(service)
        if known is None:
            return _do_nothing
        if is_first:
            known.shares.note_sent(list_kinds(work), read_clock())
        return self.unanswered.count_sent(target, _read_urgency(work))

    def read_rates(self, service: ServiceName) -> list[float]:
        """Read the requests a second at all daemons, by urgency."""
        known = self.find(service)
        if known is None:
            return [0 for _ in range(URGENCIES)]
        now = read_clock()
        return estimate_rates(
            recent=known.demand.read_recent(now),
            steady=known.demand.read_steady(now),
            others=self.others.sum(service, now),
            daemons=self._count_daemons(),
        )

    def is_unheard(self, service: ServiceName) -> bool:
        """Tell whether registered daemons exist and none reported demand."""
        others = self.others.sum(service, read_clock())
        return self._count_daemons() > 1 and not others.daemons

    def count_slots(self, service: ServiceName) -> int:
        """Count the slots of all targets that may get requests."""
        known = self.find(service)
        if known is None:
            return 0
        now = read_clock()
        if known.counted_at is None or now - known.counted_at > COUNT_SECONDS:
            known.counted_at = now
            known.slots = sum(
                target.slots
                for target in self._state.targets.values()
                if target.service == service
                and not target.leaving
                and target.failure_domain not in self._state.withdrawn
            )
        return known.slots

    def note_reserved(self, service: ServiceName, slots: int) -> None:
        """Note how many slots of a target are kept for urgent requests."""
        known = self.find(service)
        if known is None or not slots:
            return
        if known.reserved_at is None:
            LOGGER.info(
                'service begins to reserve slots',
                extra={'service': service, 'slots': slots},
            )
        known.reserved = slots
        known.reserved_at = read_clock()

    def wake(self, service: ServiceName) -> None:
        """Let waiting requests of a service go if there is room."""
        known = self.services.get(service)
        if known is not None:
            known.queue.wake()

    def close(self) -> None:
        """Refuse all waiting requests: the daemon stops."""
        for known in self.services.values():
            known.queue.end_all(STOPPING)

    def note_round(self) -> None:
        """Note which services have reserved nothing for some time.

        This also lets waiting requests see changes of the fleet's state.
        """
        now = read_clock()
        for service, known in self.services.items():
            known.queue.wake()
            if (
                known.reserved_at is not None
                and now - known.reserved_at > RESERVING_SECONDS
            ):
                known.reserved_at = None
                known.reserved = 0
                LOGGER.info(
                    'service ends to reserve slots', extra={'service': service}
                )

    def describe_demand(self) -> Mapping[ServiceName, ServiceDemand] | None:
        """Describe the own demand for other daemons.

        :return: none if no service is scheduled.
        """
        self._apply_desired()
        now = read_clock()
        return {
            service: ServiceDemand(
                rates=[
                    round(rate, RATE_DIGITS)
                    for rate in known.demand.read_recent(now)
                ],
                waiting=known.queue.count(),
            )
            for service, known in self.services.items()
        } or None

    def note_message(
        self,
        daemon: DaemonId,
        demand: Mapping[ServiceName, ServiceDemand] | None,
        urgent: Mapping[TargetName, tuple[int, int]],
    ) -> None:
        """Apply the demand and the urgent requests of another daemon."""
        if demand is not None:
            now = read_clock()
            self.others.note(daemon, demand, now)
            self.unanswered.note_counts(daemon, urgent, now)
            for service in demand:
                self.wake(service)

    def _apply_desired(self) -> None:
        """Apply the desired state in force, once.

        Waiting requests of a service that is not scheduled any more are
        refused, and accounts that have ended are forgotten.
        """
        desired = self._state.desired
        if desired is self._desired or desired is None:
            return
        self._desired = desired
        scheduled = {
            service
            for service in desired.services
            if is_scheduled(
                desired, service, reports_pace=self._reports_pace(service)
            )
        }
        accounts = (desired.accounts or {}).values()
        kinds = {account.name for account in accounts}
        for service, known in tuple(self.services.items()):
            known.shares.keep({NO_ACCOUNT, *kinds, *range(URGENCIES)})
            if service not in scheduled:
                self.services.pop(service)
                known.queue.end_all()
        for service in scheduled:
            self.services.setdefault(service, ServiceScheduling())


def list_kinds(work: PermittedCall) -> tuple[int, str]:
    """List the kinds of a request that have guaranteed shares."""
    account = NO_ACCOUNT if work.account is None else work.account.name
    return _read_urgency(work), account


def _read_urgency(work: PermittedCall) -> int:
    return read_urgency(route=work.route, account=work.account)


def _do_nothing() -> None:
    """Count nothing."""
