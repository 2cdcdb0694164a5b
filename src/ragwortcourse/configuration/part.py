"""Split of a document into parts, which daemons fetch one by one."""

import zlib
from collections.abc import Iterable, Sequence
from typing import Final, Protocol, TypeVar

import msgspec

from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.deployment import (
    ModelDeployment,
    ServiceDeployment,
)
from ragwortcourse.configuration.failure_domain import FailureDomain
from ragwortcourse.identifiers import (
    ChangeId,
    FailureDomainName,
    TargetName,
)

# A change of one account makes entry daemons fetch the part with the account,
# so more parts make each fetch smaller.
ACCOUNT_PARTS: Final = 8
DEPLOYMENT_PARTS: Final = 4


class Part(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Subset of a document; fields are named as in the document."""

    failure_domains: tuple[FailureDomain, ...] = ()
    withdrawn_failure_domains: tuple[FailureDomainName, ...] = ()
    withdrawn_targets: tuple[TargetName, ...] = ()
    settled_changes: tuple[ChangeId, ...] = ()
    models: tuple[ModelDeployment, ...] = ()
    services: tuple[ServiceDeployment, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()


class _Named(Protocol):
    """Item that is assigned to a part by its name."""

    @property
    def name(self) -> str:
        """Name, unique among items of the same kind."""


_Item = TypeVar('_Item', bound=_Named)


def split_shared(document: ConfigurationDocument) -> tuple[Part, ...]:
    """Split off the parts that every daemon holds.

    :return: a part with failure domains, withdrawals and settled changes,
        then parts with the deployments, sharded by name.
    """
    configuration = document.configuration
    placement = Part(
        failure_domains=configuration.failure_domains,
        withdrawn_failure_domains=configuration.withdrawn_failure_domains,
        withdrawn_targets=configuration.withdrawn_targets,
        settled_changes=document.settled_changes,
    )
    models = _shard_by_name(configuration.models, DEPLOYMENT_PARTS)
    services = _shard_by_name(configuration.services, DEPLOYMENT_PARTS)
    deployments = (
        Part(models=some, services=others)
        for some, others in zip(models, services, strict=True)
    )
    return (placement, *deployments)


def split_accounts(document: ConfigurationDocument) -> tuple[Part, ...]:
    """Split off the client accounts, sharded by name.

    Only entry daemons hold these parts.
    """
    accounts = document.configuration.client_accounts
    return tuple(
        Part(client_accounts=share)
        for share in _shard_by_name(accounts, ACCOUNT_PARTS)
    )


def join_configuration(parts: Sequence[Part]) -> Configuration:
    """Join parts into a configuration in canonical order."""
    return arrange_configuration(
        Configuration(
            failure_domains=_chain(part.failure_domains for part in parts),
            client_accounts=_chain(part.client_accounts for part in parts),
            models=_chain(part.models for part in parts),
            services=_chain(part.services for part in parts),
            withdrawn_failure_domains=_chain(
                part.withdrawn_failure_domains for part in parts
            ),
            withdrawn_targets=_chain(part.withdrawn_targets for part in parts),
        )
    )


def join_settled(parts: Sequence[Part]) -> tuple[ChangeId, ...]:
    """Collect the settled changes that parts list."""
    return _chain(part.settled_changes for part in parts)


def arrange_configuration(configuration: Configuration) -> Configuration:
    """Return the configuration in canonical order.

    Accounts, models and services are sorted by name, so that a configuration
    that is split and joined again is equal to the original.
    """
    return msgspec.structs.replace(
        configuration,
        client_accounts=_sort(configuration.client_accounts),
        models=_sort(configuration.models),
        services=_sort(configuration.services),
    )


def _shard_by_name(
    items: Iterable[_Item], count: int
) -> tuple[tuple[_Item, ...], ...]:
    shares: tuple[list[_Item], ...] = tuple([] for _ in range(count))
    for item in items:
        shares[zlib.crc32(item.name.encode()) % count].append(item)
    return tuple(tuple(share) for share in shares)


def _sort(items: tuple[_Item, ...]) -> tuple[_Item, ...]:
    return tuple(sorted(items, key=lambda item: item.name))


_Member = TypeVar('_Member')


def _chain(groups: Iterable[tuple[_Member, ...]]) -> tuple[_Member, ...]:
    return tuple(item for group in groups for item in group)
