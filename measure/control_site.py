"""A small site of real daemon processes with byte counters.

The counters stand between the entry daemon and the services of the platform,
and between the entry daemon and stand-in agents.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
import msgspec
from aiohttp import web

from fakes.blueprint import OPERATOR_TOKEN, Blueprint, EntryPlan, TargetPlan
from fakes.fleet import Fleet
from fakes.probes import hash_key
from measure.byte_counter import ByteCounter
from measure.proc import read_processor, read_resident
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
    ChangeId,
    ClientAccountName,
    DaemonId,
    DeploymentName,
    FailureDomainName,
    Generation,
    HostName,
    ModelName,
    RegionName,
    Sha256Hex,
    TargetName,
    VersionName,
)
from ragwortcourse.membership.hosts import HostRecord, HostRole
from ragwortcourse.messages.operator import ConfigurationChange
from ragwortcourse.messages.target_status import TargetStatus
from ragwortcourse.settings import PlatformSettings, Settings
from ragwortcourse.weights.http_origin import build_http_writer
from ragwortcourse.weights.publication import Published, publish_weights

API_KEY: Final = 'measure-key'
DOMAIN: Final = FailureDomainName('north')
REGION: Final = RegionName('inland')
ENTRY: Final = 'entry-1'
ENGINE: Final = 'engine-1'
SERVICE: Final = 'service-1'
MODEL: Final = 'drafts'
WAIT_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.1
HIGH_LIMIT: Final = 400
START_TRIES: Final = 3


class CountedBlueprint(Blueprint):
    """A blueprint whose entry daemon reaches the platform through counters.

    :param stand_ins: agents that this process serves and that the list of
        hosts contains.
    """

    def __init__(
        self,
        *,
        targets: tuple[TargetPlan, ...],
        stand_ins: 'StandInAgents',
        collector: bool = False,
    ) -> None:
        super().__init__(
            entries=(EntryPlan(name=ENTRY, failure_domain=DOMAIN),),
            targets=targets,
            collector=collector,
        )
        self.stand_ins = stand_ins
        self.table = ByteCounter()
        self.hosts = ByteCounter()
        self.objects = ByteCounter()

    async def start_counters(self) -> None:
        """Start the counters, before the entry daemon starts."""
        for counter in (self.table, self.hosts, self.objects):
            await counter.start(self.platform)

    def list_records(self) -> tuple[HostRecord, ...]:
        """List the hosts, including those of the stand-in agents."""
        return (*super().list_records(), *self.stand_ins.records)

    def make_entry_settings(self, plan: EntryPlan) -> Settings:
        """Make settings with the addresses of the counters."""
        return msgspec.structs.replace(
            super().make_entry_settings(plan),
            platform=PlatformSettings(
                table=f'http://{self.table.address}/table',
                objects=f'http://{self.objects.address}/objects',
                hosts=f'http://{self.hosts.address}/hosts',
                origin=f'http://{self.platform}/origin',
            ),
        )


def make_silent_host(number: int, role: HostRole) -> HostRecord:
    """Make a list entry for a host on which nothing listens."""
    return HostRecord(
        host=HostName(f'host-silent-{role}-{number}'),
        role=role,
        daemon=DaemonId(f'silent-{role}-{number}'),
        address='127.0.0.1:1',
        failure_domain=DOMAIN,
        region=REGION,
    )


class StandInAgents:
    """Agents that answer heartbeats only, each behind a counter."""

    def __init__(self) -> None:
        self.records: list[HostRecord] = []
        self.counters: list[ByteCounter] = []
        self._runners: list[web.AppRunner] = []

    async def start(self, count: int) -> None:
        """Start agents for a number of targets."""
        for number in range(count):
            address = await self._start_agent(TargetName(f'target-{number}'))
            counter = ByteCounter()
            self.records.append(
                HostRecord(
                    host=HostName(f'host-{number}'),
                    role=HostRole.AGENT,
                    daemon=DaemonId(f'agent-{number}'),
                    address=await counter.start(address),
                    failure_domain=DOMAIN,
                    region=REGION,
                    target=TargetName(f'target-{number}'),
                    deployment=DeploymentName(f'deployment-{number}'),
                )
            )
            self.counters.append(counter)

    def add_silent(self, agents: int, entries: int) -> None:
        """Add hosts on which nothing listens to the list of hosts."""
        for number in range(entries):
            self.records.append(make_silent_host(number, HostRole.ENTRY))
        for number in range(agents):
            record = make_silent_host(number, HostRole.AGENT)
            self.records.append(
                msgspec.structs.replace(
                    record,
                    target=TargetName(f'target-silent-{number}'),
                    deployment=DeploymentName('deployment-silent'),
                )
            )

    async def stop(self) -> None:
        """Stop the counters and the agents."""
        for counter in self.counters:
            await counter.stop()
        for runner in self._runners:
            await runner.cleanup()

    def read_totals(self) -> tuple[int, int]:
        """Return bytes and responses of all agents so far."""
        return (
            sum(counter.total for counter in self.counters),
            sum(counter.requests for counter in self.counters),
        )

    async def _start_agent(self, target: TargetName) -> str:
        async def answer(request: web.Request) -> web.Response:
            heartbeat = msgspec.json.decode(await request.read())
            status = TargetStatus(
                target=target,
                deployment=DeploymentName(
                    target.replace('target', 'deployment')
                ),
                failure_domain=DOMAIN,
                limit=8,
                running=0,
                queued=0,
                leaving=False,
                served=(),
                generation=Generation(heartbeat['generation']),
            )
            return web.Response(
                body=msgspec.json.encode(status),
                content_type='application/json',
            )

        app = web.Application()
        app.router.add_post('/status', answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0, shutdown_timeout=0.1)
        await site.start()
        self._runners.append(runner)
        return f'127.0.0.1:{runner.addresses[0][1]}'


class Site:
    """A running site, with requests to it and readings of its daemons."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        plan: CountedBlueprint,
        session: aiohttp.ClientSession,
    ) -> None:
        self.fleet = fleet
        self.plan = plan
        self.session = session

    def read_memory(self, name: str) -> int:
        """Read the resident memory of one daemon, in bytes."""
        return read_resident(self.fleet.children[name].pid)

    def read_processor(self, name: str) -> float:
        """Read the processor seconds that one daemon has used so far."""
        return read_processor(self.fleet.children[name].pid)

    @property
    def callers(self) -> str:
        """Base URL for calls."""
        return f'http://{self.plan.listen[ENTRY].callers}'

    async def read_generation(self) -> Generation:
        """Read the generation in force at the entry daemon."""
        url = f'http://{self.plan.listen[ENTRY].operators}/operator/status'
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        async with self.session.get(url, headers=headers) as answer:
            return Generation((await answer.json())['generation'])

    async def apply(self, configuration: Configuration) -> Generation:
        """Put a configuration in force at the entry daemon.

        :raises RuntimeError: the entry daemon refused the configuration.
        """
        base = await self.read_generation()
        change = ConfigurationChange(
            base_generation=base,
            configuration=configuration,
            change=ChangeId(f'change-{base}'),
        )
        url = f'http://{self.plan.listen[ENTRY].operators}'
        async with self.session.post(
            f'{url}/operator/configuration',
            data=msgspec.json.encode(change),
            headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        ) as answer:
            body = await answer.read()
            if answer.status != 200:
                raise RuntimeError(body.decode())
        return Generation(msgspec.json.decode(body)['generation'])

    async def wait_for_generation(
        self, name: str, generation: Generation
    ) -> None:
        """Wait until a daemon has the generation in force."""
        url = (
            f'http://{self.plan.listen[name].peers}/configuration/{generation}'
        )
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                async with self.session.get(url) as answer:
                    if answer.status == 200:
                        return
                await asyncio.sleep(POLL_SECONDS)

    async def publish(self, size: int, chunk_size: int) -> Published:
        """Publish weights of a given size at the origin.

        :raises RuntimeError: the publication failed.
        """
        path = self.fleet.folder / 'weights.bin'
        path.write_bytes(bytes(index % 251 for index in range(size)))
        published = await publish_weights(
            writer=build_http_writer(
                session=self.session,
                base_url=f'http://{self.plan.platform}/origin',
            ),
            path=path,
            model=ModelName(MODEL),
            version=VersionName('v1'),
            chunk_size=chunk_size,
        )
        if not isinstance(published, Published):
            raise RuntimeError(str(published))
        return published

    async def wait_for_answer(self, deployment: str) -> None:
        """Wait until a deployment answers calls."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not await self._is_answered(deployment):
                await asyncio.sleep(POLL_SECONDS)

    async def call(self, key: str = '', method: str = 'POST') -> int:
        """Call the service without an engine and return the status."""
        headers = {'Idempotency-Key': key} if key else {}
        async with self.session.request(
            method,
            f'{self.callers}/services/renewals/charge',
            headers=headers,
            data=b'{}' if method == 'POST' else None,
        ) as answer:
            await answer.read()
            return answer.status

    async def stream(self, tokens: int) -> int:
        """Stream one chat completion and return its size in bytes.

        :raises RuntimeError: the answer was not 200 or incomplete.
        """
        question = {'model': MODEL, 'stream': True, 'max_tokens': tokens}
        async with self.session.post(
            f'{self.callers}/v1/chat/completions', json=question
        ) as answer:
            body = await answer.read()
        if answer.status != 200 or b'[DONE]' not in body:
            raise RuntimeError(f'{answer.status}: {body[-300:]!r}')
        return len(body)

    async def _is_answered(self, deployment: str) -> bool:
        if deployment == MODEL:
            with contextlib.suppress(RuntimeError):
                return await self.stream(1) > 0
            return False
        return await self.call(method='GET') == 200


async def start_site(
    targets: tuple[TargetPlan, ...], agents: StandInAgents, *, collector: bool
) -> tuple[CountedBlueprint, Fleet]:
    """Start the daemons of a site.

    The start is tried up to ``START_TRIES`` times, with other ports each time,
    because another site may take a chosen port before a daemon binds it.

    :raises TimeoutError: a daemon did not answer at the last try.
    """
    for left in reversed(range(START_TRIES)):
        plan = CountedBlueprint(
            targets=targets, stand_ins=agents, collector=collector
        )
        await plan.start_counters()
        fleet = Fleet(blueprint=plan)
        try:
            await fleet.start()
        except TimeoutError:
            await fleet.stop()
            if not left:
                raise
        else:
            break
    return plan, fleet


@contextlib.asynccontextmanager
async def open_site(
    *targets: TargetPlan,
    stand_ins: int = 0,
    silent: int = 0,
    collector: bool = False,
) -> AsyncIterator[Site]:
    """Run a site for the length of a block, then end all its processes.

    :param stand_ins: number of stand-in agents.
    :param silent: number of listed hosts on which nothing listens.
    :param collector: whether a trace collector runs.
    """
    agents = StandInAgents()
    await agents.start(stand_ins)
    # The same proportion as at the target size, where 2650 hosts run 2300
    # agents and 350 entry daemons.
    agents.add_silent(silent * 2300 // 2650, silent * 350 // 2650)
    connector = aiohttp.TCPConnector(limit=0)
    headers = {'Authorization': f'Bearer {API_KEY}'}
    timeout = aiohttp.ClientTimeout(total=WAIT_SECONDS * 2)
    try:
        plan, fleet = await start_site(targets, agents, collector=collector)
        try:
            async with aiohttp.ClientSession(
                connector=connector, headers=headers, timeout=timeout
            ) as session:
                yield Site(fleet=fleet, plan=plan, session=session)
        finally:
            await fleet.stop()
    finally:
        await agents.stop()


def plan_engine(pace: float = 0) -> TargetPlan:
    """Plan a stand-in engine with a high concurrency limit.

    :param pace: seconds between two tokens of a stream.
    """
    return TargetPlan(
        name=ENGINE,
        deployment=MODEL,
        failure_domain=DOMAIN,
        options=(
            *('--cold', str(HIGH_LIMIT), '--warm', str(HIGH_LIMIT)),
            *('--latency', '0', '--pace', str(pace)),
        ),
    )


def plan_service(latency: float = 0) -> TargetPlan:
    """Plan a stand-in service without an engine."""
    return TargetPlan(
        name=SERVICE,
        deployment='renewals',
        failure_domain=DOMAIN,
        is_model_engine=False,
        options=('--latency', str(latency)),
    )


def make_configuration(
    *, accounts: int = 10, manifest: str = '', warm: int = HIGH_LIMIT
) -> Configuration:
    """Make a configuration of one service, client accounts and a model.

    :param manifest: manifest digest of the model; no model if empty.
    :param warm: concurrency limit; 1 leaves no queue.
    """
    limits = TargetLimits(
        cold=warm, warm=warm, queue=0 if warm == 1 else HIGH_LIMIT
    )
    models = (
        ModelDeployment(
            name=DeploymentName(MODEL),
            model=ModelName(MODEL),
            version=VersionName('v1'),
            manifest_sha256=Sha256Hex(manifest),
            failure_domains=(DOMAIN,),
            limits=limits,
        ),
    )
    return Configuration(
        failure_domains=(FailureDomain(name=DOMAIN, region=REGION),),
        client_accounts=tuple(
            ClientAccount(
                name=ClientAccountName(f'account-{number:05}'),
                key_sha256=(
                    hash_key(f'{API_KEY}-{number}' if number else API_KEY),
                ),
            )
            for number in range(accounts)
        ),
        models=models if manifest else (),
        services=(
            ServiceDeployment(
                name=DeploymentName('renewals'),
                failure_domains=(DOMAIN,),
                non_idempotent=(CallPattern(method='POST'),),
                limits=limits,
            ),
        ),
    )
