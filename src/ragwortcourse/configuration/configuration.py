"""Everything operators decide, as one immutable value."""

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
    """What runs where, for whom, and what is withdrawn."""

    failure_domains: tuple[FailureDomain, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()
    models: tuple[ModelDeployment, ...] = ()
    services: tuple[ServiceDeployment, ...] = ()
    withdrawn_failure_domains: tuple[FailureDomainName, ...] = ()
    withdrawn_targets: tuple[TargetName, ...] = ()


class ConfigurationDocument(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted generation of the configuration.

    :param change: id of the operator's change that made it.
    :param settled_changes: withdrawals made while the table was away that
        this generation has taken over or ended.
    """

    generation: Generation
    configuration: Configuration
    change: ChangeId
    settled_changes: tuple[ChangeId, ...] = ()
