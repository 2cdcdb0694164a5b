"""Types of the settings in the TOML file of one process."""

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
    """Role of a daemon.

    Forwarders and loaders are the entry daemons and agents of a fleet whose
    operators write routes and versions into the store. A forwarder sends
    requests directly to the targets, without an agent.
    """

    ENTRY = 'entry'
    AGENT = 'agent'
    FORWARDER = 'forwarder'
    LOADER = 'loader'


class ListenSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Listen addresses of the daemon, as ``ip:port``.

    :param peers: port for other daemons.
    :param watch: port of ``/healthz``, ``/readyz`` and ``/metrics``.
    :param callers: port for callers; entry daemons and forwarders only.
    :param operators: port for operators; entry daemons only.
    """

    peers: str
    watch: str
    callers: str = ''
    operators: str = ''


class PlatformSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base URLs of the platform's services; empty for a missing service.

    :param origin_region: region of the origin of weights; empty if the
        region does not matter.
    """

    table: str = ''
    objects: str = ''
    hosts: str = ''
    origin: str = ''
    origin_region: RegionName = RegionName('')


class TelemetrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Export of metrics and traces; an empty URL disables the export."""

    otlp: str = ''
    log_level: str = 'INFO'


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an entry daemon.

    :param operator_key_sha256: SHA-256 digests of the operators' tokens.
    """

    operator_key_sha256: tuple[Sha256Hex, ...] = ()


class AgentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an agent.

    :param target: name of the target on the agent's host.
    :param target_url: base URL of the target.
    :param is_model_engine: false for a service without model weights.
    :param checks_fencing: true if the target refuses orders with a stale
        fencing token.
    :param chunk_memory: greatest memory for chunks, in bytes.
    :param link_rate: bandwidth of the host's link in bytes per second; zero
        if unknown.
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
    """Time limits and retry budget that the operators of a fleet set.

    Operators may give each number whole or as a fraction.

    :param store: ``ip:port`` of the store, which holds the rows of operators
        and targets.
    :param failure_domains: region of each failure domain.
    :param grace_seconds: time from SIGTERM to SIGKILL.
    :param strict_revocation: true if a revoked key must not be served
        later than ``revoke_ms`` after its revocation.
    :param version_ms: time after which no request may start on older
        weights.
    :param contact_ms: undisturbed time that a daemon is granted before the
        time limits apply to the daemon.
    :param retry_ratio: retry budget as a share of the requests within
        ``retry_window_seconds``, summed over all daemons.
    :param retry_reserve: retries allowed in addition to that share.
    :param apply_ms: time after which each desired state must be in force.
    """

    store: str
    failure_domains: dict[FailureDomainName, RegionName]
    grace_seconds: float
    strict_revocation: bool
    revoke_ms: float
    version_ms: float
    contact_ms: float
    retry_ratio: float
    retry_window_seconds: float
    retry_reserve: float
    apply_ms: float = 2000


class LoaderSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a loader.

    :param engine: ``ip:port`` of the engine on the loader's host.
    :param service: service that the engine belongs to.
    :param link_mbps: bandwidth of the host's link in megabits per second.
    """

    engine: str
    service: ServiceName
    link_mbps: float


class LimitSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Resources of the host that the daemon may use; zero if unknown.

    :param memory_mb: memory of the host in megabytes.
    :param descriptors: greatest number of open descriptors; unknown means
        the soft limit of the process.
    """

    memory_mb: float = 0
    descriptors: int = 0


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one daemon.

    :param known: records of daemons, used until the platform's list of
        hosts is read and where no such list exists.
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
    limits: LimitSettings = LimitSettings()
    known: tuple[HostRecord, ...] = ()
