"""Port to the platform's list of hosts, which may be out of date."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable

import msgspec

from ragwortcourse.identifiers import (
    DaemonId,
    DeploymentName,
    FailureDomainName,
    HostName,
    RegionName,
    TargetName,
)


class HostState(enum.StrEnum):
    """State of a host according to the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostRole(enum.StrEnum):
    """Kind of the daemon on a host."""

    ENTRY = 'entry'
    AGENT = 'agent'


class HostRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the list for one daemon.

    :param address: ``ip:port`` of the daemon's port for other daemons.
    :param target: target on the host of an agent; none for entry daemons.
    :param deployment: deployment of the target; none for entry daemons.
    """

    host: HostName
    role: HostRole
    daemon: DaemonId
    address: str
    failure_domain: FailureDomainName
    region: RegionName
    state: HostState = HostState.LIVE
    target: TargetName | None = None
    deployment: DeploymentName | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostsListed:
    """The list of hosts as read from the platform."""

    records: tuple[HostRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostsUnavailable:
    """The list of hosts could not be read."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostListPort:
    """The list of hosts: a hint, not proof that a host is alive."""

    read: Callable[[], Awaitable[HostsListed | HostsUnavailable]]
