"""Settings of one process, read from its TOML file."""

import enum

import msgspec

from ragwortcourse.identifiers import (
    DaemonId,
    DeploymentName,
    FailureDomainName,
    HostName,
    RegionName,
    ServiceName,
    Sha256Hex,
    TargetName,
)
from ragwortcourse.membership.hosts import HostRecord


class Role(enum.StrEnum):
    """What a daemon does.

    Forwarders and loaders are the entry daemons and agents of a fleet whose
    operators write routes and versions into a store of rows; the forwarder
    sends straight to the targets.
    """

    ENTRY = 'entry'
    AGENT = 'agent'
    FORWARDER = 'forwarder'
    LOADER = 'loader'


class ListenSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Own addresses, as ``ip:port``.

    :param peers: for the project's own processes.
    :param watch: for ``/healthz``, ``/readyz`` and ``/metrics``.
    :param callers: for callers; entry daemons only.
    :param operators: for operators; entry daemons only.
    """

    peers: str
    watch: str
    callers: str = ''
    operators: str = ''


class PlatformSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base URLs of the platform's services; empty where there is none.

    :param origin_region: region that the origin of weights lies in; empty
        where it makes no difference.
    """

    table: str = ''
    objects: str = ''
    hosts: str = ''
    origin: str = ''
    origin_region: RegionName = RegionName('')


class TelemetrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Where metrics and traces go; an empty URL exports nothing."""

    otlp: str = ''
    log_level: str = 'INFO'


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an entry daemon.

    :param operator_key_sha256: digests of operators' tokens.
    """

    operator_key_sha256: tuple[Sha256Hex, ...] = ()


class AgentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an agent.

    :param target: name of the target beside it.
    :param target_url: base URL of the target.
    :param is_model_engine: false for plain services.
    :param checks_fencing: true where the target refuses stale orders.
    :param chunk_memory: bytes that chunks may hold in memory.
    :param link_rate: bytes a second of this host's link; zero: unknown.
    """

    target: TargetName
    deployment: DeploymentName
    target_url: str
    is_model_engine: bool = True
    checks_fencing: bool = True
    chunk_memory: int = 16_777_216
    link_rate: int = 0


class FleetSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What the operators of a fleet promise and expect.

    :param store: ``ip:port`` of the store of rows.
    :param failure_domains: each with its region.
    :param grace_seconds: from SIGTERM to SIGKILL.
    :param strict_revocation: true where a revoked key must not be served
        later than ``revoke_ms`` after its revocation.
    :param version_ms: after it no request may begin on older weights.
    :param contact_ms: calm that a daemon is given before it is held to the
        bounds.
    :param retry_ratio: retries allowed, as a share of the requests of
        ``retry_window_seconds``, summed over all daemons.
    :param retry_reserve: retries allowed beside that share.
    """

    store: str
    failure_domains: dict[FailureDomainName, RegionName]
    grace_seconds: float
    strict_revocation: bool
    revoke_ms: int
    version_ms: int
    contact_ms: int
    retry_ratio: float
    retry_window_seconds: float
    retry_reserve: int


class LoaderSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a loader.

    :param engine: ``ip:port`` of the engine beside it.
    :param service: service that the engine belongs to.
    :param link_mbps: megabits a second of the host's link.
    """

    engine: str
    service: ServiceName
    link_mbps: float


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Everything one daemon is told at its start.

    :param known: daemons to begin with, before and without the
        platform's list of hosts.
    """

    role: Role
    daemon: DaemonId
    host: HostName
    failure_domain: FailureDomainName
    region: RegionName
    listen: ListenSettings
    platform: PlatformSettings = PlatformSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    loader: LoaderSettings | None = None
    fleet: FleetSettings | None = None
    known: tuple[HostRecord, ...] = ()
