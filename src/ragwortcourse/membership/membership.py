"""State of membership in one entry daemon."""

import dataclasses
import random

from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.detached_tasks import DetachedTasks
from ragwortcourse.identifiers import TargetName
from ragwortcourse.membership.directory import TargetDirectory
from ragwortcourse.membership.hosts import HostListPort
from ragwortcourse.membership.roster import Roster
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.peer_port import AgentPort, DaemonPort
from ragwortcourse.settings import Settings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """What the watching of targets and peers works on.

    :param hosts: the platform's list of hosts; none where there is no such
        list, and settings alone name the daemons.
    :param assigned_targets: targets that this daemon must keep informed.
    :param background: work that nobody waits for.
    """

    settings: Settings
    holder: ConfigurationHolder
    directory: TargetDirectory
    roster: Roster
    hosts: HostListPort | None
    agent_port: AgentPort
    daemon_port: DaemonPort
    rng: random.Random
    assigned_targets: set[TargetName] = dataclasses.field(default_factory=set)
    background: DetachedTasks = dataclasses.field(default_factory=DetachedTasks)


def build_heartbeat(membership: Membership) -> Heartbeat:
    """The own state, as every heartbeat and exchange carries it."""
    return Heartbeat(
        daemon=membership.settings.daemon,
        sender=membership.settings.listen.peers,
        generation=membership.holder.generation,
        withdrawals=membership.holder.withdrawals,
    )
