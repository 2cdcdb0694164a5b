"""Versions of the desired state that other daemons have in force.

Load pattern: a full line or a reader in trouble keeps a newer desired state
from some daemons, while the store answers all others. Such a daemon can't tell
from its own calls that its state is out of date. The load messages of others
can: they are small, and come from several failure domains.
"""

import dataclasses

from ragwortcourse.forwarding.peer_counts import FRESH_SECONDS


@dataclasses.dataclass(slots=True, kw_only=True)
class _Sighting:
    """When a version was first and last heard of, in seconds."""

    first: float
    last: float


class PeerVersions:
    """Versions in force at other daemons, newer than the own one.

    A version that nobody repeats is not held against this daemon.
    """

    def __init__(self) -> None:
        self._sightings: dict[int, _Sighting] = {}

    def note(self, version: int, *, own: int, now: float) -> None:
        """Note the version that another daemon has in force.

        :param own: version in force here; zero for none.
        :param now: seconds of a clock that never goes back.
        """
        self._drop_ended(own, now)
        if version <= own:
            return
        sighting = self._sightings.setdefault(
            version, _Sighting(first=now, last=now)
        )
        sighting.last = now

    def read_behind_seconds(self, *, own: int, now: float) -> float:
        """Read for how long other daemons are known to have a newer version.

        :return: zero while none is known to.
        """
        self._drop_ended(own, now)
        return max(
            (now - each.first for each in self._sightings.values()), default=0
        )

    def _drop_ended(self, own: int, now: float) -> None:
        for version, sighting in tuple(self._sightings.items()):
            if version <= own or now - sighting.last > FRESH_SECONDS:
                self._sightings.pop(version)
