"""Hosts of a small fleet of processes, and settings of their daemons."""

import dataclasses
from typing import Any, Final

from fakes.ports import pick_address
from fakes.probes import hash_key
from ragwortcourse.identifiers import (
    DaemonId,
    DeploymentName,
    FailureDomainName,
    HostName,
    RegionName,
    TargetName,
)
from ragwortcourse.membership.hosts import HostRecord, HostRole
from ragwortcourse.settings import (
    AgentSettings,
    EntrySettings,
    ListenSettings,
    PlatformSettings,
    Role,
    Settings,
    TelemetrySettings,
)

OPERATOR_TOKEN: Final = 'operator-token'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetPlan:
    """A target to start together with its agent.

    :param options: further command-line arguments of the stand-in engine
        or service.
    """

    name: str
    deployment: str
    failure_domain: str
    is_model_engine: bool = True
    options: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryPlan:
    """An entry daemon to start."""

    name: str
    failure_domain: str


class Blueprint:
    """Addresses and settings of every process of a small fleet.

    :param regions: region of each failure domain; defaults to the name of
        the failure domain.
    :param collector: whether daemons export traces to a stand-in collector.
    :param persists_platform: whether the stand-in platform persists its state
        across a crash.
    :param agent_options: further fields of each agent's settings.
    """

    def __init__(
        self,
        *,
        entries: tuple[EntryPlan, ...],
        targets: tuple[TargetPlan, ...],
        regions: dict[str, str] | None = None,
        collector: bool = False,
        persists_platform: bool = False,
        agent_options: dict[str, Any] | None = None,
    ) -> None:
        self.entries = entries
        self.targets = targets
        self.persists_platform = persists_platform
        self._regions = regions or {}
        self._agent_options = agent_options or {}
        self.platform = pick_address()
        self.collector = pick_address() if collector else ''
        self.target_address = {plan.name: pick_address() for plan in targets}
        self.listen = {
            plan.name: ListenSettings(
                peers=pick_address(),
                watch=pick_address(),
                callers=pick_address(),
                operators=pick_address(),
            )
            for plan in entries
        }
        for plan in targets:
            self.listen[plan.name] = ListenSettings(
                peers=pick_address(), watch=pick_address()
            )

    def list_records(self) -> tuple[HostRecord, ...]:
        """List the hosts in the form of the platform's list of hosts."""
        entries = tuple(self._make_entry_record(plan) for plan in self.entries)
        agents = tuple(self._make_agent_record(plan) for plan in self.targets)
        return entries + agents

    def _make_entry_record(self, plan: EntryPlan) -> HostRecord:
        return HostRecord(
            host=HostName(f'host-{plan.name}'),
            role=HostRole.ENTRY,
            daemon=DaemonId(plan.name),
            address=self.listen[plan.name].peers,
            failure_domain=FailureDomainName(plan.failure_domain),
            region=self._find_region(plan.failure_domain),
        )

    def _make_agent_record(self, plan: TargetPlan) -> HostRecord:
        return HostRecord(
            host=HostName(f'host-{plan.name}'),
            role=HostRole.AGENT,
            daemon=DaemonId(plan.name),
            address=self.listen[plan.name].peers,
            failure_domain=FailureDomainName(plan.failure_domain),
            region=self._find_region(plan.failure_domain),
            target=TargetName(plan.name),
            deployment=DeploymentName(plan.deployment),
        )

    def _make_settings(
        self,
        *,
        role: Role,
        name: str,
        failure_domain: str,
        entry: EntrySettings | None = None,
        agent: AgentSettings | None = None,
    ) -> Settings:
        base = f'http://{self.platform}'
        otlp = f'http://{self.collector}' if self.collector else ''
        return Settings(
            role=role,
            daemon=DaemonId(name),
            host=HostName(f'host-{name}'),
            failure_domain=FailureDomainName(failure_domain),
            region=self._find_region(failure_domain),
            listen=self.listen[name],
            platform=PlatformSettings(
                table=f'{base}/table',
                objects=f'{base}/objects',
                hosts=f'{base}/hosts',
                origin=f'{base}/origin',
            ),
            telemetry=TelemetrySettings(otlp=otlp),
            entry=entry,
            agent=agent,
        )

    def make_entry_settings(self, plan: EntryPlan) -> Settings:
        """Make the settings of one entry daemon."""
        return self._make_settings(
            role=Role.ENTRY,
            name=plan.name,
            failure_domain=plan.failure_domain,
            entry=EntrySettings(
                operator_key_sha256=(hash_key(OPERATOR_TOKEN),)
            ),
        )

    def make_agent_settings(self, plan: TargetPlan) -> Settings:
        """Make the settings of the agent of one target."""
        return self._make_settings(
            role=Role.AGENT,
            name=plan.name,
            failure_domain=plan.failure_domain,
            agent=AgentSettings(
                target=TargetName(plan.name),
                deployment=DeploymentName(plan.deployment),
                target_url=f'http://{self.target_address[plan.name]}',
                is_model_engine=plan.is_model_engine,
                **self._agent_options,
            ),
        )

    def _find_region(self, failure_domain: str) -> RegionName:
        return RegionName(self._regions.get(failure_domain, failure_domain))
