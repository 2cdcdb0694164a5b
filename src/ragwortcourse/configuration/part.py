"""Parts of a document: what changes together and is fetched together."""

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

# A change of one account sends the part that the account is in.
ACCOUNT_PARTS: Final = 8
DEPLOYMENT_PARTS: Final = 4


class Part(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Some of a document; every field is that of the document."""

    failure_domains: tuple[FailureDomain, ...] = ()
    withdrawn_failure_domains: tuple[FailureDomainName, ...] = ()
    withdrawn_targets: tuple[TargetName, ...] = ()
    settled_changes: tuple[ChangeId, ...] = ()
    models: tuple[ModelDeployment, ...] = ()
    services: tuple[ServiceDeployment, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()


class _Named(Protocol):
    """Anything that has its place by its name."""

    @property
    def name(self) -> str:
        """Name, unique among its like."""


_Item = TypeVar('_Item', bound=_Named)


def split_shared(document: ConfigurationDocument) -> tuple[Part, ...]:
    """What every daemon holds: places, then deployments by their names."""
    configuration = document.configuration
    places = Part(
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
    return (places, *deployments)


def split_accounts(document: ConfigurationDocument) -> tuple[Part, ...]:
    """What entry daemons alone hold: client accounts by their names."""
    accounts = document.configuration.client_accounts
    return tuple(
        Part(client_accounts=share)
        for share in _shard_by_name(accounts, ACCOUNT_PARTS)
    )


def join_configuration(parts: Sequence[Part]) -> Configuration:
    """The configuration that these parts make up, in its fixed order."""
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
    """The settled changes that these parts list."""
    return _chain(part.settled_changes for part in parts)


def arrange_configuration(configuration: Configuration) -> Configuration:
    """The same configuration in the order in which parts are joined."""
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


_Any = TypeVar('_Any')


def _chain(groups: Iterable[tuple[_Any, ...]]) -> tuple[_Any, ...]:
    return tuple(item for group in groups for item in group)
