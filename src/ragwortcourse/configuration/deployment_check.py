"""Semantic check of deployments."""

import itertools
from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from typing import Final

from ragwortcourse.configuration.deployment import (
    Adapter,
    CallPattern,
    Deployment,
    ModelDeployment,
    ServiceDeployment,
)
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.configuration.rules import (
    build_finding,
    check_digest,
    check_known,
    check_name,
    check_range,
    check_unique,
    place_names,
)

MAX_REQUESTS: Final = 100_000
MAX_TARGETS: Final = 1_000_000
METHODS: Final = (
    'DELETE',
    'GET',
    'HEAD',
    'OPTIONS',
    'PATCH',
    'POST',
    'PUT',
)


def check_model(
    place: str, model: ModelDeployment, domains: AbstractSet[str]
) -> Iterator[Finding]:
    """Yield every error in a model deployment.

    :param place: path of the deployment in the configuration.
    :param domains: names of the configured failure domains.
    """
    yield from _check_common(place, model, domains)
    yield from check_name(f'{place}.model', model.model)
    yield from check_name(f'{place}.version', model.version)
    yield from check_digest(f'{place}.manifest_sha256', model.manifest_sha256)
    yield from check_range(f'{place}.replicas', model.replicas, 0, MAX_TARGETS)
    yield from check_range(f'{place}.batch', model.batch, 1, MAX_TARGETS)
    yield from check_unique(place_names(f'{place}.adapters', model.adapters))
    for index, adapter in enumerate(model.adapters):
        yield from _check_adapter(f'{place}.adapters[{index}]', adapter)


def check_service(
    place: str, service: ServiceDeployment, domains: AbstractSet[str]
) -> Iterator[Finding]:
    """Yield every error in a service deployment.

    :param place: path of the deployment in the configuration.
    :param domains: names of the configured failure domains.
    """
    yield from _check_common(place, service, domains)
    for index, pattern in enumerate(service.non_idempotent):
        yield from _check_pattern(f'{place}.non_idempotent[{index}]', pattern)


def _check_common(
    place: str, deployment: Deployment, domains: AbstractSet[str]
) -> Iterator[Finding]:
    yield from check_name(f'{place}.name', deployment.name)
    if not deployment.failure_domains:
        yield build_finding(
            f'{place}.failure_domains',
            (),
            'at least one failure domain',
            'the deployment is nowhere',
        )
    names = {
        f'{place}.failure_domains[{index}]': str(name)
        for index, name in enumerate(deployment.failure_domains)
    }
    yield from check_unique(names)
    yield from itertools.chain.from_iterable(
        check_known(spot, name, domains, 'failure domain')
        for spot, name in names.items()
    )
    yield from _check_limits(f'{place}.limits', deployment.limits)


def _check_limits(place: str, limits: TargetLimits) -> Iterator[Finding]:
    yield from check_range(f'{place}.cold', limits.cold, 1, MAX_REQUESTS)
    yield from check_range(
        f'{place}.warm', limits.warm, max(1, limits.cold), MAX_REQUESTS
    )
    yield from check_range(f'{place}.queue', limits.queue, 0, MAX_REQUESTS)


def _check_adapter(place: str, adapter: Adapter) -> Iterator[Finding]:
    yield from check_name(f'{place}.name', adapter.name)
    yield from check_name(f'{place}.version', adapter.version)
    yield from check_digest(f'{place}.manifest_sha256', adapter.manifest_sha256)


def _check_pattern(place: str, pattern: CallPattern) -> Iterator[Finding]:
    if pattern.method not in METHODS:
        yield build_finding(
            f'{place}.method',
            pattern.method,
            f'one of {", ".join(METHODS)}',
            'unknown method',
        )
    if not pattern.path_prefix.startswith('/'):
        yield build_finding(
            f'{place}.path_prefix',
            pattern.path_prefix,
            'a path that starts with /',
            'not a path',
        )
