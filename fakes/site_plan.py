"""Hosts, settings and configuration of a small in-process site."""

import dataclasses
import pathlib
from typing import Final

from fakes.probes import hash_key
from fakes.wire import Host
from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.deployment import (
    CallPattern,
    ModelDeployment,
    ServiceDeployment,
)
from ragwortcourse.configuration.failure_domain import FailureDomain
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.identifiers import (
    ClientAccountName,
    DaemonId,
    DeploymentName,
    FailureDomainName,
    HostName,
    ModelName,
    RegionName,
    Sha256Hex,
    TargetName,
    VersionName,
)
from ragwortcourse.membership.hosts import HostRecord
from ragwortcourse.settings import (
    AgentSettings,
    ListenSettings,
    Role,
    Settings,
)

MODEL: Final = ModelName('drafts')
MODELS: Final = DeploymentName('draft-llm')
SERVICE: Final = DeploymentName('accounts')
API_KEY: Final = 'a key'
LIMITS: Final = TargetLimits(cold=2, warm=8, queue=32)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedTarget:
    """One target of the site."""

    name: TargetName
    deployment: DeploymentName
    failure_domain: str
    is_model_engine: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SitePlan:
    """Hosts of the site.

    :param entries: failure domain of each entry daemon, by name.
    :param targets: targets by name.
    :param folder: folder of weights to publish.
    """

    entries: dict[str, str]
    targets: dict[str, PlannedTarget]
    folder: pathlib.Path
    failure_domains: tuple[str, ...] = ('alpha', 'beta', 'gamma')

    def name_domain(self, failure_domain: str) -> FailureDomainName:
        """Return the typed name of a failure domain."""
        return FailureDomainName(failure_domain)

    def find_region(self, failure_domain: str) -> RegionName:
        """Find the region of a failure domain; alpha and beta share one."""
        return RegionName('east' if failure_domain == 'gamma' else 'west')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SiteSize:
    """Numbers of targets and entry daemons in each of three domains."""

    engines: tuple[int, int, int] = (2, 2, 2)
    services: tuple[int, int, int] = (1, 1, 1)
    entries: tuple[int, int, int] = (2, 2, 2)


def make_plan(folder: pathlib.Path, size: SiteSize | None = None) -> SitePlan:
    """Plan the hosts of three failure domains."""
    size = size or SiteSize()
    domains = ('alpha', 'beta', 'gamma')
    targets = [
        PlannedTarget(
            name=TargetName(f'{kind}-{domain}-{number}'),
            deployment=deployment,
            failure_domain=domain,
            is_model_engine=kind == 'engine',
        )
        for kind, deployment, counts in (
            ('engine', MODELS, size.engines),
            ('service', SERVICE, size.services),
        )
        for domain, count in zip(domains, counts, strict=True)
        for number in range(count)
    ]
    return SitePlan(
        entries={
            f'entry-{domain}-{number}': domain
            for domain, count in zip(domains, size.entries, strict=True)
            for number in range(count)
        },
        targets={str(target.name): target for target in targets},
        folder=folder,
    )


def make_configuration(
    plan: SitePlan, version: str, manifest: str
) -> Configuration:
    """Make one model, and one service with non-idempotent POST calls."""
    domains = tuple(plan.name_domain(name) for name in plan.failure_domains)
    return Configuration(
        failure_domains=tuple(
            FailureDomain(name=name, region=plan.find_region(name))
            for name in domains
        ),
        client_accounts=(
            ClientAccount(
                name=ClientAccountName('house'),
                key_sha256=(hash_key(API_KEY),),
            ),
        ),
        models=(
            ModelDeployment(
                name=MODELS,
                model=MODEL,
                version=VersionName(version),
                manifest_sha256=Sha256Hex(manifest),
                failure_domains=domains,
                batch=2,
                limits=LIMITS,
            ),
        ),
        services=(
            ServiceDeployment(
                name=SERVICE,
                failure_domains=domains,
                non_idempotent=(CallPattern(method='POST'),),
                limits=LIMITS,
            ),
        ),
    )


def make_settings(
    plan: SitePlan, host: Host, role: Role, known: list[HostRecord]
) -> Settings:
    """Make the settings of one daemon.

    Addresses are host names on the in-process network.
    """
    name = host.name
    target = plan.targets.get(name)
    return Settings(
        role=role,
        daemon=DaemonId(name),
        host=HostName(f'host-{name}'),
        failure_domain=plan.name_domain(host.failure_domain),
        region=plan.find_region(host.failure_domain),
        listen=ListenSettings(peers=f'{name}:1', watch=f'{name}:2'),
        agent=None
        if target is None
        else AgentSettings(
            target=target.name,
            deployment=target.deployment,
            target_url='',
            is_model_engine=target.is_model_engine,
        ),
        known=tuple(known),
    )
