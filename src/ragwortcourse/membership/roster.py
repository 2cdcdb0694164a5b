"""Known daemons, from the settings, the platform's list and peers."""

from typing import Final

from ragwortcourse.identifiers import DaemonId, TargetName
from ragwortcourse.membership.hosts import HostRecord, HostRole
from ragwortcourse.membership.listed_target import (
    ListedTarget,
    build_listed_target,
)
from ragwortcourse.settings import Settings

# Greatest number of entry daemons known only from their messages.
HEARD_LIMIT: Final = 512


class Roster:
    """Records of daemons from the settings and the platform's list.

    :ivar revision: number that grows with each change of the list.
    :ivar listed: records of the list as last read.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._own = settings.daemon
        self._known = {record.daemon: record for record in settings.known}
        self._heard: dict[DaemonId, str] = {}
        self.revision = 0
        self.listed: tuple[HostRecord, ...] = ()
        self._sort_records({})

    @property
    def agents(self) -> tuple[ListedTarget, ...]:
        """Return all targets.

        Of two hosts with one target, the one without a planned stop counts.
        """
        return tuple(self._agents.values())

    @property
    def entry_daemons(self) -> tuple[HostRecord, ...]:
        """Return all other entry daemons that have a record."""
        return self._entries

    @property
    def peers(self) -> dict[DaemonId, str]:
        """Return the addresses of all other entry daemons.

        Includes daemons known only from their messages.
        """
        recorded = {record.daemon: record.address for record in self._entries}
        return self._heard | recorded

    def is_leaving(self, target: TargetName) -> bool:
        """Tell whether the list reports a planned stop of a target."""
        agent = self._agents.get(target)
        return agent is not None and agent.leaving

    def replace_listed(self, records: tuple[HostRecord, ...]) -> bool:
        """Replace the platform's list; return whether the list changed."""
        if records == self.listed:
            return False
        self.listed = records
        self.revision += 1
        self._sort_records({record.daemon: record for record in records})
        return True

    def remember_address(self, daemon: DaemonId, address: str) -> None:
        """Remember the address of an entry daemon that sent a message."""
        if daemon == self._own:
            return
        self._heard[daemon] = address
        if len(self._heard) > HEARD_LIMIT:
            self._heard.pop(next(iter(self._heard)))

    def _sort_records(self, listed: dict[DaemonId, HostRecord]) -> None:
        """Group records by role; the list overrides the settings."""
        merged = self._known | listed
        merged.pop(self._own, None)
        self._entries = tuple(
            record
            for record in merged.values()
            if record.role is HostRole.ENTRY
        )
        self._agents: dict[TargetName, ListedTarget] = {}
        for record in merged.values():
            agent = build_listed_target(record)
            if agent is None:
                continue
            before = self._agents.get(agent.target)
            if before is None or before.leaving:
                self._agents[agent.target] = agent
