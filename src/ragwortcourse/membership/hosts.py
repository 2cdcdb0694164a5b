"""Port to the platform's list of hosts, which lags."""

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
    """What the list says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostRole(enum.StrEnum):
    """Which daemon runs on a host."""

    ENTRY = 'entry'
    AGENT = 'agent'


class HostRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the list.

    :param address: ``ip:port`` of the daemon's port for its own kind.
    :param target: the target beside an agent, none for entry daemons.
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
    """The list as the platform gave it."""

    records: tuple[HostRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostsUnavailable:
    """The list could not be had."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostListPort:
    """The list of hosts: a hint, never proof that a host lives."""

    read: Callable[[], Awaitable[HostsListed | HostsUnavailable]]
