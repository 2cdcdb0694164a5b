"""Ranking of the entry daemons for each target, the same at all daemons."""

from collections.abc import Callable, Sequence

from ragwortcourse.forwarding.rate_share import rank_daemons
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import DaemonId, TargetName
from ragwortcourse.membership.relay_daemons import RelayRecord


class DaemonRanking:
    """Ranking of the registered daemons, computed once for each target.

    :param own: record of this daemon, which may not be registered yet.
    :param is_alive: tells whether another daemon sent a message recently.
    """

    def __init__(
        self, *, own: RelayRecord, is_alive: Callable[[DaemonId], bool]
    ) -> None:
        self._own = own
        self._is_alive = is_alive
        self._daemons: Sequence[RelayRecord] = ()
        self._ranked: dict[tuple[TargetName, int], tuple[DaemonId, ...]] = {}

    @property
    def own(self) -> DaemonId:
        """Name of this daemon."""
        return self._own.daemon

    def register(self, daemons: Sequence[RelayRecord]) -> None:
        """Replace the registered daemons."""
        if daemons is not self._daemons:
            self._daemons = daemons
            self._ranked.clear()

    def rank(self, target: Target) -> tuple[DaemonId, ...]:
        """Rank the registered daemons for a target, this one included."""
        key = target.name, target.born
        ranked = self._ranked.get(key)
        if ranked is None:
            others = (
                daemon for daemon in self._daemons if daemon.daemon != self.own
            )
            ranked = rank_daemons(target, (self._own, *others))
            self._ranked[key] = ranked
        return ranked

    def rank_alive(self, target: Target) -> tuple[DaemonId, ...]:
        """Rank the daemons that are alive for a target, this one included."""
        return tuple(
            daemon
            for daemon in self.rank(target)
            if daemon == self.own or self._is_alive(daemon)
        )
