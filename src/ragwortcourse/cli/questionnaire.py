"""The questionnaire that builds a first configuration."""

import hashlib
import secrets
from collections.abc import Callable
from typing import Final

from ragwortcourse.cli.question import (
    Ask,
    Question,
    ask_choices,
    ask_count,
    ask_digest,
    ask_digests,
    ask_name,
    ask_names,
    split_list,
)
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
    DeploymentName,
    FailureDomainName,
    ModelName,
    RegionName,
    Sha256Hex,
    VersionName,
)

API_KEY_BYTES: Final = 24
METHODS: Final = frozenset(('GET', 'PUT', 'POST', 'PATCH', 'DELETE', '*'))
AnnounceKey = Callable[[str, str], None]


def ask_configuration(ask: Ask, announce_key: AnnounceKey) -> Configuration:
    """Build a configuration from answers.

    :param ask: returns the answer to a question.
    :param announce_key: called with the name of a client account and its API
        key for each key that was generated.
    """
    failure_domains = ask_failure_domains(ask)
    domains = tuple(str(each.name) for each in failure_domains)
    models = ask_names(ask, 'models', 'Names of the model deployments', '')
    services = ask_names(ask, 'services', 'Names of the plain services', '')
    accounts = ask_names(ask, 'client_accounts', 'Names of client accounts')
    return Configuration(
        failure_domains=failure_domains,
        models=tuple(ask_model(ask, name, domains) for name in models),
        services=tuple(ask_service(ask, name, domains) for name in services),
        client_accounts=tuple(
            ask_account(ask, name, announce_key) for name in accounts
        ),
    )


def ask_failure_domains(ask: Ask) -> tuple[FailureDomain, ...]:
    """Ask for the failure domains and the region of each."""
    names = ask_names(ask, 'failure_domains', 'Names of the failure domains')
    return tuple(
        FailureDomain(
            name=FailureDomainName(name),
            region=RegionName(
                ask_name(
                    ask,
                    f'failure_domain.{name}.region',
                    f'Region that {name} lies in',
                    default=name,
                )
            ),
        )
        for name in names
    )


def ask_model(ask: Ask, name: str, domains: tuple[str, ...]) -> ModelDeployment:
    """Ask for the settings of one model deployment."""
    key = f'model.{name}'
    model = ask_name(ask, f'{key}.model', f'{name}: model', default=name)
    version = ask_name(ask, f'{key}.version', f'{name}: version')
    digest = ask_digest(
        ask,
        f'{key}.manifest_sha256',
        f'{name}: digest that `ragwortcourse publish` printed',
    )
    return ModelDeployment(
        name=DeploymentName(name),
        model=ModelName(model),
        version=VersionName(version),
        manifest_sha256=Sha256Hex(digest),
        failure_domains=ask_deployment_domains(ask, key, name, domains),
        replicas=ask_count(
            ask,
            f'{key}.replicas',
            f'{name}: replicas (0: every target there is)',
            default=0,
            least=0,
        ),
        limits=ask_limits(ask, key, name),
    )


def ask_service(
    ask: Ask, name: str, domains: tuple[str, ...]
) -> ServiceDeployment:
    """Ask for the settings of one service deployment."""
    key = f'service.{name}'
    answer = ask(
        Question(
            key=f'{key}.non_idempotent',
            text=f'{name}: calls that may run at most once '
            '(like POST /charges, DELETE /bookings)',
            allowed=f'method and path, separated by commas; methods: '
            f'{", ".join(sorted(METHODS))}',
            accept=lambda given: all(map(is_call_pattern, split_list(given))),
            default='POST /, PUT /, PATCH /, DELETE /',
        )
    )
    calls = [call.split(maxsplit=1) for call in split_list(answer)]
    return ServiceDeployment(
        name=DeploymentName(name),
        failure_domains=ask_deployment_domains(ask, key, name, domains),
        non_idempotent=tuple(
            CallPattern(method=method, path_prefix=path)
            for method, path in calls
        ),
        limits=ask_limits(ask, key, name),
    )


def ask_deployment_domains(
    ask: Ask, key: str, name: str, domains: tuple[str, ...]
) -> tuple[FailureDomainName, ...]:
    """Ask for the failure domains in which a deployment runs."""
    chosen = ask_choices(
        ask, f'{key}.failure_domains', f'{name}: runs in', domains
    )
    return tuple(FailureDomainName(domain) for domain in chosen)


def ask_limits(ask: Ask, key: str, name: str) -> TargetLimits:
    """Ask for the concurrency and queue limits of a deployment's targets."""
    cold = ask_count(
        ask,
        f'{key}.cold',
        f'{name}: requests at once on a target that has just started',
        default=1,
    )
    return TargetLimits(
        cold=cold,
        warm=ask_count(
            ask,
            f'{key}.warm',
            f'{name}: requests at once on a warm target',
            default=max(TargetLimits().warm, cold),
            least=cold,
        ),
        queue=ask_count(
            ask,
            f'{key}.queue',
            f'{name}: requests that may wait at a target',
            default=TargetLimits().queue,
            least=0,
        ),
    )


def ask_account(
    ask: Ask, name: str, announce_key: AnnounceKey
) -> ClientAccount:
    """Ask for one client account; generate an API key where none is given."""
    key = f'client_account.{name}'
    weight = ask_count(
        ask, f'{key}.weight', f'{name}: weight of its share', default=1
    )
    digests = ask_digests(
        ask,
        f'{key}.key_sha256',
        f'{name}: SHA-256 of its API keys (empty: make a key)',
    )
    if not digests:
        api_key = f'rc-{secrets.token_urlsafe(API_KEY_BYTES)}'
        announce_key(name, api_key)
        digests = (hashlib.sha256(api_key.encode()).hexdigest(),)
    return ClientAccount(
        name=ClientAccountName(name),
        weight=weight,
        key_sha256=tuple(Sha256Hex(digest) for digest in digests),
    )


def is_call_pattern(text: str) -> bool:
    """Tell whether a text is an HTTP method and a path prefix."""
    method, _, path = text.partition(' ')
    return method in METHODS and path.strip().startswith('/')
