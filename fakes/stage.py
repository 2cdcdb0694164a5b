"""A site under load, run step by step on a virtual clock."""

import asyncio
import copy
import math
import pathlib
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

import looptime

from fakes.callers import Callers, Ending
from fakes.checker import find_faults
from fakes.engine_load import EngineLoad
from fakes.faults import Fault
from fakes.site import Site
from fakes.site_plan import SitePlan, SiteSize, make_plan
from ragwortcourse.configuration.withdrawals import (
    apply_return,
    apply_withdrawal,
)
from ragwortcourse.detached_tasks import end_task
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope

STEADY_SECONDS: Final = 2.0
ENDLESS_SECONDS: Final = 3600.0
REPLACE_SECONDS: Final = 2.0
SAMPLE_SECONDS: Final = 0.01
# All ports are in memory, so no I/O has to be awaited before the clock
# advances.
NOOP_CYCLES: Final = 0

_Result = TypeVar('_Result')


class SiteRunner:
    """Runs steps on a site; virtual time stands still between the steps.

    :param make_load: makes the load model of each target.
    :ivar marks: virtual times recorded by :meth:`mark`.
    :ivar lowest_generation: lowest generation in force at a live daemon since
        :meth:`restore_rows`.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        seed: int = 1,
        size: SiteSize | None = None,
        make_load: Callable[[], EngineLoad] = EngineLoad,
    ) -> None:
        self._loop = looptime.new_event_loop(noop_cycles=NOOP_CYCLES)
        self._seed = seed
        self._load: asyncio.Task[None] | None = None
        self._background: set[asyncio.Task[object]] = set()
        self.marks: dict[str, float] = {}
        self.generations: dict[str, int] = {}
        self.lowest_generation: float = math.inf
        self.run(self._open(make_plan(folder, size), make_load))

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._loop.time()

    def run(self, work: Coroutine[Any, Any, _Result]) -> _Result:
        """Run a coroutine to its end while the site runs on."""
        return self._loop.run_until_complete(work)

    def begin_load(self, rate: float) -> None:
        """Start sending calls at a rate, and wait until the load is steady.

        :param rate: calls per second, until :meth:`finish`.
        """
        self._load = self._loop.create_task(
            self.callers.send_steadily(rate=rate, seconds=ENDLESS_SECONDS)
        )
        self.run(asyncio.sleep(STEADY_SECONDS))

    def finish(self) -> None:
        """Stop the load and wait until every call has ended."""
        if self._load is not None:
            self._load.cancel()
        self.run(self.callers.wait_for_all())

    def reset_warm_up(self, failure_domain: str) -> None:
        """Return every target of a failure domain to the cold state."""
        for name, target in self.site.plan.targets.items():
            if target.failure_domain == failure_domain:
                self.site.engines[name].load.cool()

    def end(self) -> list[str]:
        """Finish the load; return every violated guarantee."""
        self.finish()
        return find_faults(self.callers, self.site.run_recorder)

    def close(self) -> None:
        """Stop every task and close the event loop.

        :raises RuntimeError: tasks are still running.
        """
        self.run(self._close())
        self.run(self._loop.shutdown_asyncgens())
        left = asyncio.all_tasks(self._loop)
        self._loop.close()
        if left:
            raise RuntimeError(f'tasks still running after the stop: {left}')

    def mark(self, name: str) -> None:
        """Record the present time under a name."""
        self.marks[name] = self.now

    def change_withdrawal(
        self,
        name: str,
        *,
        withdraw: bool,
        at: str | None = None,
        scope: WithdrawalScope = WithdrawalScope.FAILURE_DOMAIN,
    ) -> Coroutine[Any, Any, object]:
        """Withdraw or return a failure domain or target as an operator.

        :param at: failure domain of the entry daemon that takes the
            change; any if none.
        :return: the change, not yet run.
        """
        entry = self.pick_entry(at)
        part = Withdrawal(
            change=self.site.name_change(),
            scope=scope,
            name=name,
            generation=entry.entry.holder.generation,
        )
        change = apply_withdrawal if withdraw else apply_return
        return change(entry.entry.holder, entry.operators.store, part)

    def pick_entry(self, failure_domain: str | None = None) -> Any:
        """Pick a random live entry daemon, optionally of a failure domain."""
        names = [
            name
            for name, where in self.site.plan.entries.items()
            if failure_domain in {None, where}
        ]
        living = [
            name for name in names if self.site.residents[name].host.alive
        ]
        return self.site.pick_entry(self.site.rng.choice(living or names))

    def cut_off(self, failure_domain: str, *, platform: bool = False) -> None:
        """Partition a failure domain from the others.

        :param platform: whether the platform is cut off as well.
        """
        for other in self.site.plan.failure_domains:
            if other != failure_domain:
                self.site.wire.cut(failure_domain, other)
        if platform:
            self.site.break_platform(Fault.DOWN, failure_domain=failure_domain)

    def repair_faults(self) -> None:
        """End every fault and restart every killed host."""
        self.site.wire.heal()
        self.site.break_platform(None)
        for name, resident in list(self.site.residents.items()):
            if resident.host.alive:
                self.site.thaw(name)
            else:
                self._run_in_loop(self.site.restart, name)

    def list_hosts(self, failure_domain: str) -> list[str]:
        """List the hosts of one failure domain."""
        return [
            name
            for name, resident in self.site.residents.items()
            if resident.host.failure_domain == failure_domain
        ]

    def kill(self, name: str) -> None:
        """Kill a host without a planned stop."""
        self.run(self.site.kill(name))

    def restart(self, name: str) -> None:
        """Restart a killed host."""
        self._run_in_loop(self.site.restart, name)

    def replace(self, names: list[str]) -> None:
        """Restart daemons one after the other by planned stops."""
        for name in names:
            self.run(self.site.drain(name))
            self.restart(name)
            self.run(asyncio.sleep(REPLACE_SECONDS))

    def resend_cut(self) -> None:
        """Resend every charge whose connection was closed with no result."""
        cut = [
            result
            for result in self.callers.results
            if result.ending is Ending.DISCONNECTED and result.key is not None
        ]
        for result in cut:
            self.run(self.callers.send(is_charge=True, key=result.key))

    def kill_engine(self, name: str) -> None:
        """Crash the engine of a target; it restarts cold."""
        self._run_in_loop(self.site.engines[name].die)

    def begin(self, work: Coroutine[Any, Any, object]) -> None:
        """Run a coroutine in the background."""
        task = self._loop.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def copy_rows(self) -> None:
        """Save the present rows of the table service."""
        self._saved_rows = copy.deepcopy(self.site.rows.rows)

    def restore_rows(self) -> None:
        """Restore the saved rows, and record the generations in force.

        The table service goes back in time, as after a restored backup.
        """
        self.site.rows.rows = self._saved_rows
        self.begin(self._watch_generations())

    async def _watch_generations(self) -> None:
        while True:
            self.lowest_generation = min(
                self.lowest_generation, *self.read_generations().values()
            )
            await asyncio.sleep(SAMPLE_SECONDS)

    def read_generations(self) -> dict[str, int]:
        """Return the generation in force at each live daemon."""
        return {
            name: self.site.routes.holders[resident.host.address].generation
            for name, resident in self.site.residents.items()
            if resident.host.alive
        }

    def _run_in_loop(self, action: Any, *arguments: Any) -> None:
        async def call() -> None:
            action(*arguments)

        self.run(call())

    async def _open(
        self, plan: SitePlan, make_load: Callable[[], EngineLoad]
    ) -> None:
        self.site = Site(plan=plan, seed=self._seed, make_load=make_load)
        await self.site.start()
        self.callers = Callers(
            site=self.site, rng=random.Random(self._seed + 2)
        )

    async def _close(self) -> None:
        for task in (self._load, *self._background):
            await end_task(task)
        for name, resident in list(self.site.residents.items()):
            if resident.host.alive:
                await self.site.kill(name)
        await self.callers.wait_for_all()
