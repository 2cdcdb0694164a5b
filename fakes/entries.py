"""In-memory entry daemons with a small configuration in force."""

import asyncio
import hashlib
import random

from fakes.faults import Faults
from fakes.memory_table import MemoryRows, build_memory_table
from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.deployment import (
    CallPattern,
    ModelDeployment,
    ServiceDeployment,
)
from ragwortcourse.configuration.failure_domain import FailureDomain
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.identifiers import (
    ChangeId,
    ClientAccountName,
    DaemonId,
    DeploymentName,
    FailureDomainName,
    Generation,
    HostName,
    IdempotencyKey,
    ModelName,
    RegionName,
    RequestId,
    Sha256Hex,
    TargetName,
    VersionName,
)
from ragwortcourse.membership.directory import TargetDirectory
from ragwortcourse.membership.target_record import TargetRecord
from ragwortcourse.messages.call import Call
from ragwortcourse.messages.peer_port import AgentPort
from ragwortcourse.messages.target_status import ServedVersion, TargetStatus
from ragwortcourse.settings import ListenSettings, Role, Settings

API_KEY = 'a key'
MODEL = ModelName('captions')
VERSION = VersionName('v2')
DOMAINS = {
    FailureDomainName('attica-a'): RegionName('south'),
    FailureDomainName('crete-a'): RegionName('south'),
    FailureDomainName('macedonia-a'): RegionName('north'),
}


def make_configuration() -> Configuration:
    """Make one model, and one service with non-idempotent POST calls."""
    digest = Sha256Hex(hashlib.sha256(API_KEY.encode()).hexdigest())
    account = ClientAccount(
        name=ClientAccountName('studio'), key_sha256=(digest,)
    )
    model = ModelDeployment(
        name=DeploymentName('caption-llm'),
        model=MODEL,
        version=VERSION,
        manifest_sha256=Sha256Hex('0'),
        failure_domains=tuple(DOMAINS),
    )
    service = ServiceDeployment(
        name=DeploymentName('booking-app'),
        failure_domains=tuple(DOMAINS),
        non_idempotent=(CallPattern(method='POST', path_prefix='/bookings'),),
    )
    return Configuration(
        failure_domains=tuple(
            FailureDomain(name=name, region=region)
            for name, region in DOMAINS.items()
        ),
        client_accounts=(account,),
        models=(model,),
        services=(service,),
    )


def make_settings(daemon: str) -> Settings:
    """Make the settings of an entry daemon in attica-a."""
    return Settings(
        role=Role.ENTRY,
        daemon=DaemonId(daemon),
        host=HostName(f'host-{daemon}'),
        failure_domain=FailureDomainName('attica-a'),
        region=RegionName('south'),
        listen=ListenSettings(peers=f'{daemon}:1', watch=f'{daemon}:2'),
    )


def make_record(
    target: str,
    *,
    deployment: str = 'booking-app',
    failure_domain: str = 'attica-a',
    versions: tuple[str, ...] = (VERSION,),
    limit: int = 8,
) -> TargetRecord:
    """Make a target whose name is also the address of its agent."""
    domain = FailureDomainName(failure_domain)
    status = TargetStatus(
        target=TargetName(target),
        deployment=DeploymentName(deployment),
        failure_domain=domain,
        limit=limit,
        running=0,
        queued=0,
        leaving=False,
        served=tuple(
            ServedVersion(model=MODEL, version=VersionName(version))
            for version in versions
        ),
        generation=Generation(1),
    )
    return TargetRecord(
        target=TargetName(target),
        deployment=DeploymentName(deployment),
        failure_domain=domain,
        region=DOMAINS[domain],
        address=target,
        status=status,
        spare=limit,
    )


def make_entry(
    agent_port: AgentPort,
    *records: TargetRecord,
    rows: MemoryRows | None = None,
    faults: Faults | None = None,
    daemon: str = 'entry-1',
) -> EntryState:
    """Make an entry daemon that knows the given targets.

    :param rows: rows of the table service; several daemons may share them.
    """
    holder = ConfigurationHolder()
    holder.update_if_newer(
        ConfigurationDocument(
            generation=Generation(1),
            configuration=make_configuration(),
            change=ChangeId('first'),
        )
    )
    directory = TargetDirectory()
    for record in records:
        directory.put(record)
    return EntryState(
        settings=make_settings(daemon),
        holder=holder,
        directory=directory,
        agent_port=agent_port,
        table=build_memory_table(
            rows=rows or MemoryRows(), faults=faults or Faults()
        ),
        rng=random.Random(daemon),
        read_wall_clock=asyncio.get_running_loop().time,
    )


def make_model_call(
    name: str = 'r1', *, prompt: str = 'a shot list', time_left: float = 10
) -> Call:
    """Make an idempotent model call."""
    body = f'{{"model":"{MODEL}","prompt":"{prompt}"}}'.encode()
    return Call(
        request=RequestId(name),
        api_key=API_KEY,
        deployment=None,
        method='POST',
        path='/v1/completions',
        headers={},
        body=body,
        time_left=time_left,
    )


def make_booking_call(
    name: str = 'r1',
    *,
    key: str | None = None,
    body: bytes = b'a booking',
    time_left: float = 10,
) -> Call:
    """Make a service call that may run at most once."""
    return Call(
        request=RequestId(name),
        api_key=API_KEY,
        deployment=DeploymentName('booking-app'),
        method='POST',
        path='/bookings',
        headers={},
        body=body,
        time_left=time_left,
        idempotency_key=None if key is None else IdempotencyKey(key),
    )
