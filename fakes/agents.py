"""Builders of agents, attempts and configurations with default values."""

import dataclasses
import itertools
from typing import Any

from fakes.memory_engine import MemoryEngine
from ragwortcourse.agent.agent import Agent
from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.deployment import ModelDeployment
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.engines.engine import Engine
from ragwortcourse.identifiers import (
    AttemptId,
    ChangeId,
    ClientAccountName,
    DaemonId,
    DeploymentName,
    FailureDomainName,
    Generation,
    HostName,
    ModelName,
    RegionName,
    RequestId,
    Sha256Hex,
    TargetName,
    VersionName,
)
from ragwortcourse.messages.attempt import Attempt
from ragwortcourse.messages.target_status import ServedVersion
from ragwortcourse.settings import (
    AgentSettings,
    ListenSettings,
    Role,
    Settings,
)

MODEL = ModelName('caption')
VERSION = VersionName('v1')
DEPLOYMENT = DeploymentName('caption-llm')
ATTEMPTS = itertools.count(1)
STREAMED = b'{"model": "caption", "stream": true}'


def make_settings(target: str = 'target-1') -> Settings:
    """Make settings of an agent that is never served over the network."""
    return Settings(
        role=Role.AGENT,
        daemon=DaemonId(f'agent-of-{target}'),
        host=HostName(f'host-of-{target}'),
        failure_domain=FailureDomainName('attica-a'),
        region=RegionName('attica'),
        listen=ListenSettings(peers='127.0.0.1:0', watch='127.0.0.1:0'),
        agent=AgentSettings(
            target=TargetName(target), deployment=DEPLOYMENT, target_url=''
        ),
    )


def make_document(
    limits: TargetLimits, generation: int = 1, **changes: Any
) -> ConfigurationDocument:
    """Make a configuration with one model deployment.

    :param changes: further fields of the configuration.
    """
    deployment = ModelDeployment(
        name=DEPLOYMENT,
        model=MODEL,
        version=VERSION,
        manifest_sha256=Sha256Hex('0' * 64),
        failure_domains=(FailureDomainName('attica-a'),),
        limits=limits,
    )
    return ConfigurationDocument(
        generation=Generation(generation),
        configuration=Configuration(models=(deployment,), **changes),
        change=ChangeId(f'change-{generation}'),
    )


def make_agent(
    engine: MemoryEngine | Engine, *, limits: TargetLimits | None = None
) -> Agent:
    """Make an agent whose target serves the default model version."""
    holder = ConfigurationHolder()
    holder.update_if_newer(make_document(limits or TargetLimits()))
    if isinstance(engine, MemoryEngine):
        engine.versions.install(MODEL, VERSION)
        engine = engine.build()
    agent = Agent(settings=make_settings(), holder=holder, engine=engine)
    agent.served.confirm(ServedVersion(model=MODEL, version=VERSION))
    return agent


def make_attempt(**changes: Any) -> Attempt:
    """Make an idempotent, streamed attempt at the default model.

    :param changes: fields that differ from the defaults.
    """
    number = next(ATTEMPTS)
    attempt = Attempt(
        attempt=AttemptId(f'attempt-{number}'),
        request=RequestId(f'request-{number}'),
        account=ClientAccountName('house'),
        weight=1,
        deployment=DEPLOYMENT,
        generation=Generation(1),
        sender='',
        idempotent=True,
        method='POST',
        path='/v1/chat/completions',
        headers={'content-type': 'application/json'},
        body=STREAMED,
        time_left=30,
        fingerprint=f'fingerprint-{number}',
        model=MODEL,
        version=VERSION,
    )
    return dataclasses.replace(attempt, **changes)


def make_service_attempt(**changes: Any) -> Attempt:
    """Make a non-idempotent attempt at a plain service.

    :param changes: fields that differ from the defaults.
    """
    usual = {
        'idempotent': False,
        'model': None,
        'version': None,
        'body': b'{}',
        'path': '/charge',
    }
    return make_attempt(**{**usual, **changes})
