"""A small fleet of real processes on loopback: stand-ins and daemons.

The stand-ins replace the platform, the trace collector, and the engines and
services behind the agents.
"""

import asyncio
import pathlib
import signal
import tempfile
from collections.abc import Callable
from typing import Final

import aiohttp
import msgspec
import tomlkit

from fakes.blueprint import Blueprint, EntryPlan, TargetPlan
from fakes.child import Child
from fakes.probes import can_connect, drop_none, read_status
from ragwortcourse.settings import Settings

READY_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.05


class Fleet:
    """Starts, reaches and stops the processes of one small fleet.

    :param folder: directory for settings and logs; none for a temporary
        directory that :meth:`stop` deletes.
    """

    def __init__(
        self, *, blueprint: Blueprint, folder: pathlib.Path | None = None
    ) -> None:
        self.plan = blueprint
        self.children: dict[str, Child] = {}
        self._temporary: tempfile.TemporaryDirectory[str] | None = None
        if folder is None:
            self._temporary = tempfile.TemporaryDirectory(
                prefix='ragwortcourse-'
            )
            folder = pathlib.Path(self._temporary.name)
        self.folder = folder

    async def __aenter__(self) -> 'Fleet':
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start the stand-ins, then the daemons; wait until all answer."""
        await self.start_platform()
        if self.plan.collector:
            await self._spawn(
                'collector', 'fakes.collector', self.plan.collector
            )
        for plan in self.plan.targets:
            await self.start_target(plan)
        await self._register_hosts()
        for agent in self.plan.targets:
            await self.start_agent(agent)
        for entry in self.plan.entries:
            await self.start_entry(entry)
        for name in self.plan.listen:
            await self.wait_for(name, '/healthz')

    async def start_platform(self) -> None:
        """Start the stand-in of the platform.

        It loads the state that an earlier run saved if the blueprint says so.
        """
        keep = self.folder / 'platform.kept'
        extra = ('--keep', str(keep)) if self.plan.persists_platform else ()
        await self._spawn(
            'platform', 'fakes.platform', self.plan.platform, *extra
        )
        await self._wait_for_port(self.plan.platform)

    async def start_target(self, plan: TargetPlan) -> None:
        """Start the stand-in engine or service of one target."""
        module = 'fakes.engine' if plan.is_model_engine else 'fakes.service'
        address = self.plan.target_address[plan.name]
        extra = list(plan.options)
        if self.plan.collector and plan.is_model_engine:
            extra += ['--collector', f'http://{self.plan.collector}']
        await self._spawn(f'target-{plan.name}', module, address, *extra)
        await self._wait_for_port(address)

    async def start_agent(self, plan: TargetPlan) -> None:
        """Start the agent of one target."""
        settings = self.plan.make_agent_settings(plan)
        await self._start_daemon(settings)

    async def start_entry(self, plan: EntryPlan) -> None:
        """Start one entry daemon."""
        await self._start_daemon(self.plan.make_entry_settings(plan))

    async def wait_for(
        self, name: str, path: str, seconds: float = READY_SECONDS
    ) -> None:
        """Wait until a daemon answers 200 on its watch port.

        :raises TimeoutError: no 200 within ``seconds``.
        """
        url = f'http://{self.plan.listen[name].watch}{path}'
        await self._poll(lambda status: status == 200, url, seconds)

    async def stop(self) -> dict[str, int]:
        """Stop the daemons, then the stand-ins.

        :return: exit status by process name.
        """
        for name in self.children:
            self.resume(name)
        statuses: dict[str, int] = {}
        daemons = [name for name in self.children if name in self.plan.listen]
        others = [
            name for name in self.children if name not in self.plan.listen
        ]
        for names in (daemons, others):
            ended = await asyncio.gather(
                *(self._stop_child(name) for name in names)
            )
            statuses.update(zip(names, ended, strict=True))
        if self._temporary is not None:
            self._temporary.cleanup()
        return statuses

    async def kill(self, name: str) -> None:
        """Kill one process by SIGKILL and wait until it has ended."""
        self.children[name].send(signal.SIGKILL)
        await self.children[name].wait()

    async def restart(self, name: str) -> None:
        """Start a process again after its end."""
        if name == 'platform':
            await self.start_platform()
        for target in self.plan.targets:
            if name == target.name:
                await self.start_agent(target)
            if name == f'target-{target.name}':
                await self.start_target(target)
        for entry in self.plan.entries:
            if name == entry.name:
                await self.start_entry(entry)

    async def replace(self, name: str) -> int:
        """Stop a daemon by SIGTERM and start it again.

        :return: exit status of the stopped process.
        """
        status = await self.children[name].stop()
        await self.restart(name)
        return status

    def suspend(self, name: str) -> None:
        """Suspend one process by SIGSTOP."""
        self.children[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process by SIGCONT."""
        self.children[name].send(signal.SIGCONT)

    async def _start_daemon(self, settings: Settings) -> None:
        path = self.folder / f'{settings.daemon}.toml'
        plain = drop_none(msgspec.to_builtins(settings))
        path.write_text(tomlkit.dumps(plain))
        child = Child(
            name=settings.daemon,
            module='ragwortcourse.daemon',
            log=self.folder / f'{settings.daemon}.log',
        )
        self.children[settings.daemon] = child
        await child.start('--settings', str(path))

    async def _spawn(
        self, name: str, module: str, address: str, *extra: str
    ) -> None:
        log = self.folder / f'{name}.log'
        child = Child(name=name, module=module, log=log)
        self.children[name] = child
        await child.start('--listen', address, *extra)

    async def _register_hosts(self) -> None:
        await self._wait_for_port(self.plan.platform)
        body = msgspec.json.encode(self.plan.list_records())
        url = f'http://{self.plan.platform}/hosts'
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, data=body) as answer,
        ):
            answer.raise_for_status()

    async def _stop_child(self, name: str) -> int:
        return await self.children[name].stop()

    async def _wait_for_port(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        async with asyncio.timeout(READY_SECONDS):
            while not await can_connect(host, int(port)):
                await asyncio.sleep(POLL_SECONDS)

    async def _poll(
        self, accept: Callable[[int], bool], url: str, seconds: float
    ) -> None:
        async with (
            asyncio.timeout(seconds),
            aiohttp.ClientSession() as session,
        ):
            while not accept(await read_status(session, url)):
                await asyncio.sleep(POLL_SECONDS)
