"""Everything that operators configure, as one immutable value."""

import msgspec

from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.deployment import (
    ModelDeployment,
    ServiceDeployment,
)
from ragwortcourse.configuration.failure_domain import FailureDomain
from ragwortcourse.identifiers import (
    ChangeId,
    FailureDomainName,
    Generation,
    TargetName,
)


class Configuration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Deployments, client accounts, failure domains and withdrawals."""

    failure_domains: tuple[FailureDomain, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()
    models: tuple[ModelDeployment, ...] = ()
    services: tuple[ServiceDeployment, ...] = ()
    withdrawn_failure_domains: tuple[FailureDomainName, ...] = ()
    withdrawn_targets: tuple[TargetName, ...] = ()


class ConfigurationDocument(msgspec.Struct, frozen=True, kw_only=True):
    """One committed generation of the configuration.

    :param change: id of the change that made the generation.
    :param settled_changes: ids of withdrawals that need no further write: a
        generation up to this one has recorded or ended them.
    """

    generation: Generation
    configuration: Configuration
    change: ChangeId
    settled_changes: tuple[ChangeId, ...] = ()
