"""One small site of real daemons, with counters on the wire around one."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
import msgspec
from aiohttp import web

from fakes.blueprint import OPERATOR_TOKEN, Blueprint, EntryPlan, TargetPlan
from fakes.fleet import Fleet
from fakes.probes import digest_key
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
PLACE: Final = FailureDomainName('north')
REGION: Final = RegionName('inland')
ENTRY: Final = 'entry-1'
ENGINE: Final = 'engine-1'
SERVICE: Final = 'service-1'
MODEL: Final = 'drafts'
WAIT_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.1
MANY: Final = 400
START_TRIES: Final = 3


class CountedBlueprint(Blueprint):
    """A blueprint whose entry daemon reaches the platform by counters.

    :param stand_ins: agents served by this process, on the list of hosts.
    """

    def __init__(
        self,
        *,
        targets: tuple[TargetPlan, ...],
        stand_ins: 'StandInAgents',
        collector: bool = False,
    ) -> None:
        super().__init__(
            entries=(EntryPlan(name=ENTRY, failure_domain=PLACE),),
            targets=targets,
            collector=collector,
        )
        self.stand_ins = stand_ins
        self.table = ByteCounter()
        self.hosts = ByteCounter()
        self.objects = ByteCounter()

    async def start_counters(self) -> None:
        """Listen before the entry daemon starts."""
        for counter in (self.table, self.hosts, self.objects):
            await counter.start(self.platform)

    def list_records(self) -> tuple[HostRecord, ...]:
        """The hosts, those of the stand-in agents included."""
        return (*super().list_records(), *self.stand_ins.records)

    def make_entry_settings(self, plan: EntryPlan) -> Settings:
        """Settings that lead to the counters."""
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
    """A line of the list for a host that does not answer."""
    return HostRecord(
        host=HostName(f'host-silent-{role}-{number}'),
        role=role,
        daemon=DaemonId(f'silent-{role}-{number}'),
        address='127.0.0.1:1',
        failure_domain=PLACE,
        region=REGION,
    )


class StandInAgents:
    """Agents that only answer heartbeats, each behind a counter."""

    def __init__(self) -> None:
        self.records: list[HostRecord] = []
        self.counters: list[ByteCounter] = []
        self._runners: list[web.AppRunner] = []

    async def start(self, count: int) -> None:
        """Begin to answer for so many targets."""
        for number in range(count):
            address = await self._start_agent(TargetName(f'target-{number}'))
            counter = ByteCounter()
            self.records.append(
                HostRecord(
                    host=HostName(f'host-{number}'),
                    role=HostRole.AGENT,
                    daemon=DaemonId(f'agent-{number}'),
                    address=await counter.start(address),
                    failure_domain=PLACE,
                    region=REGION,
                    target=TargetName(f'target-{number}'),
                    deployment=DeploymentName(f'deployment-{number}'),
                )
            )
            self.counters.append(counter)

    def list_silent(self, agents: int, entries: int) -> None:
        """Put hosts on the list at which nobody listens."""
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
        """Answer no more."""
        for counter in self.counters:
            await counter.stop()
        for runner in self._runners:
            await runner.cleanup()

    def read_totals(self) -> tuple[int, int]:
        """Bytes and answers of all of them so far."""
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
                failure_domain=PLACE,
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
    """A running site, and what is asked of it."""

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
        """Resident bytes of one daemon."""
        return read_resident(self.fleet.children[name].pid)

    def read_processor(self, name: str) -> float:
        """Processor seconds of one daemon so far."""
        return read_processor(self.fleet.children[name].pid)

    @property
    def callers(self) -> str:
        """Base URL for callers."""
        return f'http://{self.plan.listen[ENTRY].callers}'

    async def read_generation(self) -> Generation:
        """Generation in force at the entry daemon."""
        url = f'http://{self.plan.listen[ENTRY].operators}/operator/status'
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        async with self.session.get(url, headers=headers) as answer:
            return Generation((await answer.json())['generation'])

    async def apply(self, configuration: Configuration) -> Generation:
        """Put a configuration in force at the entry daemon.

        :raises RuntimeError: it was refused.
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
        """Return once a daemon has the generation in force."""
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
        """Put weights at the origin.

        :raises RuntimeError: the origin failed.
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
        """Return once callers are answered by a deployment."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not await self._is_answered(deployment):
                await asyncio.sleep(POLL_SECONDS)

    async def call(self, key: str = '', method: str = 'POST') -> int:
        """Status of one call of the plain service."""
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
        """Bytes of one streamed chat completion.

        :raises RuntimeError: it was not answered whole.
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
    """Daemons that run, at ports that no other site took meanwhile.

    :raises TimeoutError: some daemon did not answer, however often started.
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
    """A running site; every process of it ends with the block."""
    agents = StandInAgents()
    await agents.start(stand_ins)
    # The share of entry daemons among the hosts of the target size.
    agents.list_silent(silent * 2300 // 2650, silent * 350 // 2650)
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
    """A stand-in engine that bears much."""
    return TargetPlan(
        name=ENGINE,
        deployment=MODEL,
        failure_domain=PLACE,
        options=(
            *('--cold', str(MANY), '--warm', str(MANY)),
            *('--latency', '0', '--pace', str(pace)),
        ),
    )


def plan_service(latency: float = 0) -> TargetPlan:
    """A stand-in plain service."""
    return TargetPlan(
        name=SERVICE,
        deployment='renewals',
        failure_domain=PLACE,
        is_model_engine=False,
        options=('--latency', str(latency)),
    )


def make_configuration(
    *, accounts: int = 10, manifest: str = '', warm: int = MANY
) -> Configuration:
    """A configuration of one service, one model and some accounts."""
    limits = TargetLimits(cold=warm, warm=warm, queue=0 if warm == 1 else MANY)
    models = (
        ModelDeployment(
            name=DeploymentName(MODEL),
            model=ModelName(MODEL),
            version=VersionName('v1'),
            manifest_sha256=Sha256Hex(manifest),
            failure_domains=(PLACE,),
            limits=limits,
        ),
    )
    return Configuration(
        failure_domains=(FailureDomain(name=PLACE, region=REGION),),
        client_accounts=tuple(
            ClientAccount(
                name=ClientAccountName(f'account-{number:05}'),
                key_sha256=(
                    digest_key(f'{API_KEY}-{number}' if number else API_KEY),
                ),
            )
            for number in range(accounts)
        ),
        models=models if manifest else (),
        services=(
            ServiceDeployment(
                name=DeploymentName('renewals'),
                failure_domains=(PLACE,),
                non_idempotent=(CallPattern(method='POST'),),
                limits=limits,
            ),
        ),
    )
