"""A fleet of processes under load, with fault injection and a final check."""

import asyncio
import collections
import contextlib
import pathlib
import random
from typing import Any, Final

import aiohttp
import msgspec

from fakes.blueprint import (
    OPERATOR_TOKEN,
    Blueprint,
    EntryPlan,
    TargetPlan,
)
from fakes.callers import Ending
from fakes.checker import check_charge, check_model_answer, group_by_key
from fakes.fleet import Fleet
from fakes.fleet_callers import FleetCallers
from fakes.site_plan import (
    MODEL,
    SiteSize,
    make_configuration,
    make_plan,
)
from ragwortcourse.identifiers import ChangeId, Generation, VersionName
from ragwortcourse.messages.operator import (
    ChangeAccepted,
    ConfigurationChange,
    OperatorStatus,
)
from ragwortcourse.weights.http_origin import build_http_writer
from ragwortcourse.weights.publication import Published, publish_weights

MODEL_BYTES: Final = 100_000
CHUNK_BYTES: Final = 20_000
SERVING_SECONDS: Final = 60.0
# Long enough for a slow machine to answer all calls.
ANSWER_SECONDS: Final = 60.0
# Slow enough for a fault to hit work in progress.
SLOW_ENGINE: Final = ('--pace', '0.05')
SLOW_SERVICE: Final = ('--latency', '0.15')
# Shorter than the time for which tests suspend processes.
PATIENCE_SECONDS: Final = 5.0
POLL_SECONDS: Final = 0.1
RESULTS_FILE: Final = 'told.jsonl'
SIZE: Final = SiteSize(engines=(1, 1, 1), services=(1, 1, 0), entries=(2, 1, 0))


class FleetStage:
    """Harness of one test: starts a fleet, loads it and checks the answers.

    :param folder: directory for the logs of the processes and for the answers
        that callers got.
    :param patience: seconds that callers wait for a silent daemon.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        size: SiteSize = SIZE,
        patience: float = PATIENCE_SECONDS,
    ) -> None:
        self.fleet: Fleet
        self.callers: FleetCallers
        self._session: aiohttp.ClientSession
        self._generation = Generation(0)
        self._folder = folder
        self._size = size
        self._patience = patience
        self._exit_stack = contextlib.AsyncExitStack()
        self._load: asyncio.Task[None] | None = None

    async def __aenter__(self) -> 'FleetStage':
        try:
            await self._open()
        except BaseException:
            await self._exit_stack.aclose()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._exit_stack.aclose()

    async def deploy(self, version: str) -> None:
        """Publish a version and submit a configuration that deploys it."""
        path = self.fleet.folder / f'{version}.bin'
        path.write_bytes(random.Random(version).randbytes(MODEL_BYTES))
        published = await publish_weights(
            writer=build_http_writer(
                session=self._session,
                base_url=f'http://{self.fleet.plan.platform}/origin',
            ),
            path=path,
            model=MODEL,
            version=VersionName(version),
            chunk_size=CHUNK_BYTES,
        )
        if not isinstance(published, Published):
            raise TypeError(f'{version}: {published}')
        change = ConfigurationChange(
            base_generation=self._generation,
            configuration=make_configuration(
                self.plan, version, published.digest
            ),
            change=ChangeId(f'deploy-{version}'),
        )
        accepted = await self._ask('POST', 'configuration', change)
        self._generation = msgspec.json.decode(
            accepted, type=ChangeAccepted
        ).generation

    async def wait_until_serving(self, version: str) -> None:
        """Wait until every entry daemon sees every target ready.

        :raises TimeoutError: not all were ready within ``SERVING_SECONDS``.
        """
        async with asyncio.timeout(SERVING_SECONDS):
            for entry in self.fleet.plan.entries:
                await self.fleet.wait_for(entry.name, '/readyz')
                while not await self._sees_all(entry.name, version):
                    await asyncio.sleep(POLL_SECONDS)

    def begin_load(self, rate: float) -> None:
        """Start calls at a mean rate per second until :meth:`end`."""
        self._load = asyncio.ensure_future(self.callers.send_steadily(rate))

    async def break_table(self, fault: str | None, seconds: float = 0) -> None:
        """Set or clear a fault of the stand-in of the table service.

        :param fault: kind of fault; none to clear it.
        """
        url = f'http://{self.fleet.plan.platform}/faults/table'
        body = {'fault': fault, 'seconds': seconds}
        async with self._session.put(url, json=body) as answer:
            answer.raise_for_status()

    async def end(self) -> list[str]:
        """Stop the load, wait for all answers and check them.

        :return: one line for each violated guarantee.
        """
        if self._load is not None:
            self._load.cancel()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await self.callers.wait_for_all()
        except TimeoutError:
            return [*self._list_unanswered()]
        finally:
            self._write_told()
        return await self._find_faults()

    async def count_runs(self) -> collections.Counter[str]:
        """Count the runs of each idempotency key, as services report them."""
        runs: collections.Counter[str] = collections.Counter()
        for target in self.fleet.plan.targets:
            if not target.is_model_engine:
                runs.update(await self._read_target(target.name, 'runs'))
        return runs

    async def _find_faults(self) -> list[str]:
        faults: list[str] = []
        runs = await self.count_runs()
        for result in self.callers.results:
            if result.key is None:
                faults.extend(check_model_answer(result))
            if result.ending is Ending.ERROR and result.outcome is None:
                faults.append(f'no outcome was stated: {result}')
        for key, sendings in group_by_key(self.callers.results).items():
            faults.extend(check_charge(key, sendings, runs[key]))
        for target in self.fleet.plan.targets:
            peak = await self._read_target(target.name, 'peak')
            if peak > 1:
                faults.append(f'{target.name} got {peak} of what it bears')
        return faults

    def _write_told(self) -> None:
        lines = [msgspec.json.encode(result) for result in self.callers.results]
        (self._folder / RESULTS_FILE).write_bytes(b'\n'.join(lines))

    def _list_unanswered(self) -> list[str]:
        return [
            f'no answer: {sendings[-3:]}'
            for sendings in self.callers.calls
            if not sendings or sendings[-1].ending is not Ending.COMPLETE
        ]

    async def _read_target(self, name: str, what: str) -> Any:
        address = self.fleet.plan.target_address[name]
        async with self._session.get(f'http://{address}/{what}') as answer:
            return await answer.json()

    async def _sees_all(self, entry: str, version: str) -> bool:
        raw = await self._ask('GET', 'status', entry=entry)
        status = msgspec.json.decode(raw, type=OperatorStatus)
        wanted = len(self.fleet.plan.targets)
        return wanted == sum(
            target.status is not None
            and (
                not target.deployment.endswith('llm')
                or any(one.version == version for one in target.status.served)
            )
            for target in status.targets
        )

    async def _ask(
        self,
        method: str,
        path: str,
        message: msgspec.Struct | None = None,
        entry: str | None = None,
    ) -> bytes:
        name = entry or self.fleet.plan.entries[0].name
        address = self.fleet.plan.listen[name].operators
        async with self._session.request(
            method,
            f'http://{address}/operator/{path}',
            data=None if message is None else msgspec.json.encode(message),
            headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        ) as answer:
            raw = await answer.read()
            if not answer.ok:
                raise RuntimeError(f'{path}: {answer.status} {raw!r}')
            return raw

    async def _open(self) -> None:
        self._session = await self._exit_stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.fleet = Fleet(
            blueprint=self._make_blueprint(), folder=self._folder
        )
        self._exit_stack.push_async_callback(self.fleet.stop)
        await self.fleet.start()
        self.callers = FleetCallers(
            fleet=self.fleet, rng=random.Random(1), patience=self._patience
        )
        self._exit_stack.push_async_callback(self.callers.close)
        await self.deploy('v1')
        await self.wait_until_serving('v1')

    def _make_blueprint(self) -> Blueprint:
        self.plan = make_plan(pathlib.Path(), self._size)
        return Blueprint(
            entries=tuple(
                EntryPlan(name=name, failure_domain=domain)
                for name, domain in self.plan.entries.items()
            ),
            targets=tuple(
                TargetPlan(
                    name=target.name,
                    deployment=target.deployment,
                    failure_domain=target.failure_domain,
                    is_model_engine=target.is_model_engine,
                    options=SLOW_ENGINE
                    if target.is_model_engine
                    else SLOW_SERVICE,
                )
                for target in self.plan.targets.values()
            ),
            regions={
                name: self.plan.find_region(name)
                for name in self.plan.failure_domains
            },
            persists_platform=True,
        )
