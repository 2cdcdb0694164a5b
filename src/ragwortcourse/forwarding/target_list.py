"""List of targets that tolerates entries lost in an outage or a restore."""

import asyncio
import dataclasses
import logging
import math
from collections.abc import Callable, Collection
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import TargetName

# The users state that entries that expired during a store outage are back
# within about two seconds of the return of the store.
LAPSE_SECONDS: Final = 2.3
# An entry that ends after the first answer of the store may belong to a
# leaving target. The entry is kept for less than the time in which a leaving
# target may still get requests.
LATE_LAPSE_SECONDS: Final = 1.5
# Two reports of one return of the store differ by less: transit times and the
# calls of two daemons.
SAME_RETURN_SECONDS: Final = 0.25

LOGGER: Final = logging.getLogger(__name__)


class TargetList:
    """Maintainer of the targets in a daemon's state.

    An entry that is missing right after a store outage may only have lapsed.
    Its target is kept for the time in which the entry would be restored. A
    leaving target is removed at once. An older entry, from a store that came
    back from a copy, takes effect after the same time, unless it says that its
    target leaves.

    The daemon may itself have been cut off from a store that was never away,
    and has to act on its rows within a given time after the cut. An entry is
    kept no longer than that.

    :param state: state whose targets are updated.
    :param notify: called with each new or changed entry.
    :param contact_seconds: time after the end of a cut by which the daemon has
        to act on the rows of the store.
    """

    def __init__(
        self,
        *,
        state: FleetState,
        notify: Callable[[Target], None] | None = None,
        contact_seconds: float = math.inf,
    ) -> None:
        self._state = state
        self._notify = notify
        self._contact_seconds = contact_seconds
        self._regained_at: float | None = None
        self._restored_by = -math.inf
        self._awaits_first_read = False
        self._missing: dict[TargetName, asyncio.TimerHandle] = {}
        self._older: dict[TargetName, asyncio.TimerHandle] = {}

    def note_target(self, target: Target) -> None:
        """Apply a new or updated entry."""
        target = self._state.departures.apply(target)
        known = self._state.targets.get(target.name)
        self._stop_waiting(target.name)
        seconds = self._read_restore_delay()
        if known is not None and _is_older(target, known) and seconds > 0:
            if target.leaving and target.born == known.born:
                self._apply(dataclasses.replace(known, leaving=True))
            LOGGER.info(
                'older entry of a target not applied yet',
                extra={
                    'target': target.name,
                    'born': target.born,
                    'born_known': known.born,
                    'seconds': seconds,
                },
            )
            self._older[target.name] = asyncio.get_running_loop().call_later(
                seconds, self._apply, target
            )
        else:
            self._apply(target)

    def note_missing(self, name: TargetName) -> None:
        """Apply the end of an entry, after a delay if it may have lapsed."""
        target = self._state.targets.get(name)
        if target is None:
            return
        _cancel(self._older, name)
        seconds = 0 if target.leaving else self._read_restore_delay()
        if seconds <= 0:
            self.remove(name)
        elif name not in self._missing:
            loop = asyncio.get_running_loop()
            self._missing[name] = loop.call_later(seconds, self.remove, name)

    def apply_full_list(self, names: Collection[TargetName]) -> None:
        """Apply a full list: treat all other entries as missing."""
        for name in self._state.targets.keys() - set(names):
            self.note_missing(name)

    def note_read(self) -> None:
        """Note that an answer of the store has been applied."""
        self._state.targets_known = True
        self._awaits_first_read = False

    def note_store_back(
        self, seconds_ago: float = 0, unreached_ago: float = 0
    ) -> None:
        """Note that the store answers again.

        :param seconds_ago: seconds since it did, as seen by this daemon or the
            one that told it.
        :param unreached_ago: seconds since it did not answer.
        """
        now = read_clock()
        regained_at = now - seconds_ago
        if self._regained_at is not None and regained_at <= (
            self._regained_at + SAME_RETURN_SECONDS
        ):
            return
        self._regained_at = regained_at
        self._restored_by = min(
            regained_at + LAPSE_SECONDS,
            now - unreached_ago + self._contact_seconds,
        )
        self._awaits_first_read = True

    def remove(self, name: TargetName) -> None:
        """Remove a target at once."""
        self._stop_waiting(name)
        if self._state.targets.pop(name, None) is not None:
            LOGGER.info('target removed from the list', extra={'target': name})

    def _apply(self, target: Target) -> None:
        known = self._state.targets.get(target.name)
        self._state.targets[target.name] = target
        if self._notify is not None and known != target:
            self._notify(target)
        if known is None or _differs(known, target):
            LOGGER.info(
                'target listed',
                extra={
                    'target': target.name,
                    'born': target.born,
                    'service': target.service,
                    'address': target.address,
                    'leaving': target.leaving,
                    'cold_seconds': target.cold_seconds,
                    'weights': target.weights and target.weights.version,
                },
            )

    def _read_restore_delay(self) -> float:
        """Compute for how many seconds a missing entry may be restored."""
        if self._regained_at is None:
            return 0
        left = self._restored_by - read_clock()
        return (
            left if self._awaits_first_read else min(left, LATE_LAPSE_SECONDS)
        )

    def _stop_waiting(self, name: TargetName) -> None:
        _cancel(self._missing, name)
        _cancel(self._older, name)


def _cancel(
    timers: dict[TargetName, asyncio.TimerHandle], name: TargetName
) -> None:
    waiting = timers.pop(name, None)
    if waiting is not None:
        waiting.cancel()


def _differs(known: Target, target: Target) -> bool:
    """Tell whether more than the remaining cold time has changed."""
    return dataclasses.replace(known, cold_seconds=0) != dataclasses.replace(
        target, cold_seconds=0
    )


def _is_older(entry: Target, known: Target) -> bool:
    """Tell whether an entry describes an earlier state of a known target."""
    if entry.born != known.born:
        return entry.born < known.born
    if known.leaving and not entry.leaving:
        return True
    return entry.version < known.version
