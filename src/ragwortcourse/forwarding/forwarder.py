"""Shared state of the requests that an entry daemon forwards."""

import asyncio
import contextlib
import logging
import math
import random
from typing import Final

import aiohttp

from ragwortcourse.clock import read_clock
from ragwortcourse.entry.retry_scheduler import RetryScheduler
from ragwortcourse.forwarding.balancing.balancing import Balancing
from ragwortcourse.forwarding.balancing.home_share import HomeShare
from ragwortcourse.forwarding.balancing.target_paces import TargetPaces
from ragwortcourse.forwarding.call_scopes import CallScopes
from ragwortcourse.forwarding.caller_timeouts import CallerTimeouts
from ragwortcourse.forwarding.crash_admission import CrashAdmission
from ragwortcourse.forwarding.crash_guard import CrashGuard
from ragwortcourse.forwarding.daemon_ranking import DaemonRanking
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.peer_counts import Counts, PeerCounts
from ragwortcourse.forwarding.retries.fleet_retry_budget import (
    FleetRetryBudget,
)
from ragwortcourse.forwarding.retries.retry_exchange import RetryExchange
from ragwortcourse.forwarding.safeguards import Safeguards
from ragwortcourse.forwarding.scheduling.scheduling import Scheduling
from ragwortcourse.forwarding.store_watch import StoreWatch
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_limits import TargetLimits
from ragwortcourse.forwarding.target_load import TargetLoad
from ragwortcourse.forwarding.target_rests import TargetRests
from ragwortcourse.forwarding.wire_format import WireFormat
from ragwortcourse.identifiers import DaemonId, TargetName
from ragwortcourse.membership.relay_daemons import describe_daemon
from ragwortcourse.settings import FleetSettings, Settings

# Most requests have their whole answer this long after they were sent.
USUAL_SECONDS: Final = 2.0
# Time for callers to take the last answers.
LAST_ANSWERS_SECONDS: Final = 0.2
LAST_ANSWERS_POLL_SECONDS: Final = 0.01

LOGGER: Final = logging.getLogger(__name__)


class Forwarder:
    """State of the requests of one entry daemon.

    ``closing`` is true once requests are read but no longer served.

    :param settings: settings of a forwarder.
    :param session: session for connections to targets.
    :param rng: source of jitter and random choices.
    :raises ValueError: the settings have no ``[fleet]`` section.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        state: FleetState,
        wire: WireFormat,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.fleet = read_fleet_settings(settings)
        self.state = state
        self.wire = wire
        self.session = session
        self.rng = rng
        self.caller_timeouts = CallerTimeouts()
        self.store_watch = StoreWatch(state=state)
        ranking = DaemonRanking(
            own=describe_daemon(settings),
            is_alive=self.store_watch.has_reported,
        )
        guard = CrashGuard(state=state, find_answered=self._find_answered)
        budget = FleetRetryBudget(fleet=self.fleet)
        self.safeguards = Safeguards(
            retry_budget=budget,
            retry_exchange=RetryExchange(
                budget=budget,
                own=describe_daemon(settings),
                is_alive=self.store_watch.has_reported,
                rng=rng,
            ),
            crash_guard=guard,
            crash_admission=CrashAdmission(
                guard=guard,
                own=settings.daemon,
                count_daemons=lambda: budget.daemons,
            ),
            daemon_ranking=ranking,
            target_limits=TargetLimits(state=state, ranking=ranking),
            target_rests=TargetRests(state=state),
            retry_scheduler=RetryScheduler(),
        )
        self._scheduling = Scheduling(
            state=state, count_daemons=lambda: budget.daemons
        )
        self.balancing = Balancing(
            paces=TargetPaces(state=state),
            home_share=HomeShare(
                own=settings.failure_domain,
                domains=len(self.fleet.failure_domains),
            ),
            peer_tokens=PeerCounts(),
        )
        self._peers = PeerCounts()
        self.running = 0
        self.closing = False
        self._reading = CallScopes()
        self._work = CallScopes()
        self._ends_at = math.inf
        self._loads: dict[TargetName, TargetLoad] = {}

    @property
    def scheduling(self) -> Scheduling:
        """Measurements by which requests are scheduled by urgency."""
        return self._scheduling

    def close(self, *, ends_at: float) -> None:
        """Refuse requests from now on, and those whose bodies still arrive.

        :param ends_at: when requests in progress are cut, in monotonic seconds.
        """
        self.closing = True
        self._ends_at = ends_at
        self._reading.end_all()
        self._scheduling.close()

    def may_finish(self, deadline: float) -> bool:
        """Tell whether a request that is sent now may end before the daemon.

        :param deadline: of the request, in monotonic seconds.
        """
        usual = read_clock() + USUAL_SECONDS
        return min(deadline, usual) <= self._ends_at

    def open_reading(self) -> contextlib.AbstractAsyncContextManager[None]:
        """Open the scope in which the body of a request is read.

        :meth:`close` ends it with a :class:`ScopeEndedError`.
        """
        return self._reading.open()

    def open_work(self) -> contextlib.AbstractAsyncContextManager[None]:
        """Open the scope in which a request is sent to targets.

        :meth:`end_work` ends it with a :class:`ScopeEndedError`.
        """
        return self._work.open()

    async def end_work(self) -> None:
        """End all requests, and wait for the answers to their callers."""
        self._work.end_all()
        ends_at = read_clock() + LAST_ANSWERS_SECONDS
        while self.running and read_clock() < ends_at:  # noqa: ASYNC110
            await asyncio.sleep(LAST_ANSWERS_POLL_SECONDS)

    def find_load(self, target: Target) -> TargetLoad:
        """Find the load of a target; a new incarnation starts from zero.

        A former incarnation has a load that nobody else sees.
        """
        load = self._loads.get(target.name)
        if load is not None and load.born == target.born:
            return load
        if load is not None and _is_former(self.state, target, load):
            return self._make_load(target)
        if len(self._loads) >= len(self.state.targets):
            for name in self._loads.keys() - self.state.targets.keys():
                self._loads.pop(name)
        if load is not None:
            self._peers.forget(target.name)
            self._scheduling.unanswered.forget(target.name)
        made = self._make_load(target)
        self._loads[target.name] = made
        return made

    def note_listed(self, target: Target) -> None:
        """Apply the new or changed entry of a target."""
        load = self.find_load(target)
        now = read_clock()
        # A target may turn cold again at any time.
        load.cold_until = max(load.cold_until, now + target.cold_seconds)
        load.stated_version.note_entry(target.version, now)

    def note_counts(self, daemon: DaemonId, counts: Counts) -> None:
        """Apply the request counts that another daemon reported."""
        self._peers.note(daemon, counts, read_clock())

    def count_running(self) -> dict[TargetName, tuple[int, int]]:
        """Count this daemon's requests at each target.

        :return: for each target the running requests, and those of them
            without an answer yet.
        """
        return {
            name: (load.own, load.unanswered)
            for name, load in self._loads.items()
            if load.own
        }

    def _find_answered(self, target: TargetName, born: int) -> float:
        """Find when the newest request was sent that a target answered."""
        load = self._loads.get(target)
        if load is None or load.born != born:
            return -math.inf
        return load.answered_sent_at

    def _make_load(self, target: Target) -> TargetLoad:
        load = TargetLoad(name=target.name, born=target.born, peers=self._peers)
        load.cold_until = read_clock() + target.cold_seconds
        load.unavailable_until = read_clock()
        return load


def _is_former(state: FleetState, target: Target, load: TargetLoad) -> bool:
    """Tell whether a target is listed as a newer incarnation."""
    listed = state.targets.get(target.name)
    if listed is None or listed.born != load.born:
        return False
    return target.born < listed.born


def read_fleet_settings(settings: Settings) -> FleetSettings:
    """Read the ``[fleet]`` section of the settings.

    :raises ValueError: the section is missing.
    """
    if settings.fleet is None:
        raise ValueError(f'{settings.daemon}: settings without [fleet]')
    return settings.fleet
