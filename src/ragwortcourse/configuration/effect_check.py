"""Check for parts of a sound configuration that have no effect.

They do not keep a configuration from being put in force, as an operator may
write them ahead of what they are for.
"""

import itertools
from collections.abc import Iterator
from typing import Final

from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.deployment import (
    CallPattern,
    ServiceDeployment,
)
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.rules import build_finding, check_range

# Longest slow start that means something.
MAX_WARM_SECONDS: Final = 86_400.0


def check_effects(configuration: Configuration) -> tuple[Finding, ...]:
    """Return each entry that can't match, and limits that contradict others."""
    checks = (
        _check_accounts(configuration),
        _check_models(configuration),
        _check_services(configuration),
    )
    return tuple(itertools.chain.from_iterable(checks))


def _check_accounts(configuration: Configuration) -> Iterator[Finding]:
    for index, account in enumerate(configuration.client_accounts):
        if not account.key_sha256:
            yield build_finding(
                f'client_accounts[{index}].key_sha256',
                [],
                'at least one digest of a key',
                'no request can have a key of it',
            )


def _check_models(configuration: Configuration) -> Iterator[Finding]:
    for index, model in enumerate(configuration.models):
        place = f'models[{index}]'
        if model.replicas and model.batch > model.replicas:
            yield build_finding(
                f'{place}.batch',
                model.batch,
                f'at most replicas, {model.replicas}',
                'all targets may change version at once',
            )
        yield from check_range(
            f'{place}.limits.warm_seconds',
            model.limits.warm_seconds,
            0,
            MAX_WARM_SECONDS,
        )


def _check_services(configuration: Configuration) -> Iterator[Finding]:
    for index, service in enumerate(configuration.services):
        place = f'services[{index}]'
        yield from check_range(
            f'{place}.limits.warm_seconds',
            service.limits.warm_seconds,
            0,
            MAX_WARM_SECONDS,
        )
        yield from _check_patterns(place, service)


def _check_patterns(
    place: str, service: ServiceDeployment
) -> Iterator[Finding]:
    for index, pattern in enumerate(service.non_idempotent):
        others = enumerate(service.non_idempotent)
        covering = next(
            (
                number
                for number, other in others
                if _covers(other, pattern)
                and (number < index or other != pattern)
            ),
            None,
        )
        if covering is not None:
            yield build_finding(
                f'{place}.non_idempotent[{index}].path_prefix',
                pattern.path_prefix,
                'a path that no other pattern covers',
                f'never decides: non_idempotent[{covering}] matches as well',
            )


def _covers(other: CallPattern, pattern: CallPattern) -> bool:
    """Tell whether each call that matches a pattern matches another one."""
    is_longer = pattern.path_prefix.startswith(other.path_prefix)
    return is_longer and other.method == pattern.method
