"""Membership state of one entry daemon."""

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
    """State and ports for the discovery of targets and peers.

    :param hosts: the platform's list of hosts; none if the platform has no
        such list and only the settings name daemons.
    :param assigned_targets: targets to which this daemon must send
        changes at once.
    :param background: background tasks without a waiter.
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
    """Build the message with the own state for heartbeats and exchanges."""
    return Heartbeat(
        daemon=membership.settings.daemon,
        sender=membership.settings.listen.peers,
        generation=membership.holder.generation,
        withdrawals=membership.holder.withdrawals,
    )
