"""Semantic check of a configuration, reporting all findings at once."""

import itertools
from collections.abc import Iterator

from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.deployment_check import (
    check_model,
    check_service,
)
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.rules import (
    check_digest,
    check_known,
    check_name,
    check_range,
    check_unique,
    place_names,
)
from ragwortcourse.configuration.version_check import check_versions

MIN_WEIGHT = 0.001
MAX_WEIGHT = 1_000_000.0


def check_configuration(configuration: Configuration) -> tuple[Finding, ...]:
    """Return every error in a configuration, each with its place."""
    checks = (
        _check_failure_domains,
        _check_accounts,
        _check_deployments,
        _check_withdrawn,
        check_versions,
    )
    return tuple(
        itertools.chain.from_iterable(check(configuration) for check in checks)
    )


def _check_failure_domains(configuration: Configuration) -> Iterator[Finding]:
    yield from check_unique(
        place_names('failure_domains', configuration.failure_domains)
    )
    for index, domain in enumerate(configuration.failure_domains):
        place = f'failure_domains[{index}]'
        yield from check_name(f'{place}.name', domain.name)
        yield from check_name(f'{place}.region', domain.region)


def _check_accounts(configuration: Configuration) -> Iterator[Finding]:
    accounts = configuration.client_accounts
    yield from check_unique(place_names('client_accounts', accounts))
    yield from check_unique(
        {
            f'client_accounts[{number}].key_sha256[{position}]': digest
            for number, owner in enumerate(accounts)
            for position, digest in enumerate(owner.key_sha256)
        }
    )
    for index, account in enumerate(accounts):
        yield from _check_account(f'client_accounts[{index}]', account)


def _check_account(place: str, account: ClientAccount) -> Iterator[Finding]:
    yield from check_name(f'{place}.name', account.name)
    yield from check_range(
        f'{place}.weight', account.weight, MIN_WEIGHT, MAX_WEIGHT
    )
    for index, digest in enumerate(account.key_sha256):
        yield from check_digest(f'{place}.key_sha256[{index}]', digest)


def _check_deployments(configuration: Configuration) -> Iterator[Finding]:
    yield from check_unique(
        place_names('models', configuration.models)
        | place_names('services', configuration.services)
    )
    known = {domain.name for domain in configuration.failure_domains}
    for index, model in enumerate(configuration.models):
        yield from check_model(f'models[{index}]', model, known)
    for index, service in enumerate(configuration.services):
        yield from check_service(f'services[{index}]', service, known)


def _check_withdrawn(configuration: Configuration) -> Iterator[Finding]:
    known = {domain.name for domain in configuration.failure_domains}
    for index, name in enumerate(configuration.withdrawn_failure_domains):
        place = f'withdrawn_failure_domains[{index}]'
        yield from check_known(place, name, known, 'failure domain')
    for index, target in enumerate(configuration.withdrawn_targets):
        yield from check_name(f'withdrawn_targets[{index}]', target)
