"""Every daemon heard of, from settings, the platform's list and peers."""

from ragwortcourse.identifiers import DaemonId, TargetName
from ragwortcourse.membership.listed_target import ListedTarget, read_target
from ragwortcourse.platform.hosts import HostRecord, HostRole
from ragwortcourse.settings import Settings


class Roster:
    """Hosts as settings and the platform's list name them.

    The list is a hint: hosts that it no longer names stay known while they
    answer, since the list lags and can be away.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._own = settings.daemon
        self._known = {record.daemon: record for record in settings.known}
        self._listed: dict[DaemonId, HostRecord] = {}
        self._heard: dict[DaemonId, str] = {}
        self._agents = self._merge_agents()

    @property
    def records(self) -> tuple[HostRecord, ...]:
        """Every other daemon; the list goes before the settings."""
        merged = self._known | self._listed
        return tuple(
            record for daemon, record in merged.items() if daemon != self._own
        )

    @property
    def agents(self) -> tuple[ListedTarget, ...]:
        """Every target; of two hosts that name it, the one not leaving."""
        return tuple(self._agents.values())

    @property
    def entries(self) -> tuple[HostRecord, ...]:
        """Every other entry daemon that has a record."""
        return tuple(
            record for record in self.records if record.role is HostRole.ENTRY
        )

    @property
    def peers(self) -> dict[DaemonId, str]:
        """Address of every other entry daemon, those only heard included."""
        recorded = {record.daemon: record.address for record in self.entries}
        return self._heard | recorded

    def is_leaving(self, target: TargetName) -> bool:
        """Tell whether the list says that a target is leaving."""
        agent = self._agents.get(target)
        return agent is not None and agent.leaving

    def replace_listed(self, records: tuple[HostRecord, ...]) -> bool:
        """Take the platform's list; say whether it differs from the last."""
        listed = {record.daemon: record for record in records}
        if listed == self._listed:
            return False
        self._listed = listed
        self._agents = self._merge_agents()
        return True

    def hear(self, daemon: DaemonId, address: str) -> None:
        """Remember the address of an entry daemon that spoke."""
        if daemon != self._own:
            self._heard[daemon] = address

    def _merge_agents(self) -> dict[TargetName, ListedTarget]:
        targets: dict[TargetName, ListedTarget] = {}
        for record in self.records:
            listed = read_target(record)
            if listed is None:
                continue
            before = targets.get(listed.target)
            if before is None or before.leaving:
                targets[listed.target] = listed
        return targets
