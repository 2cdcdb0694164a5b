"""How every target stands, for operators; most are not watched here."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Collection
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import TargetName
from ragwortcourse.membership.listed_target import ListedTarget
from ragwortcourse.membership.membership import Membership, build_heartbeat
from ragwortcourse.membership.target_record import TargetRecord
from ragwortcourse.messages.target_status import TargetStatus

# A status this young is shown again instead of being asked for anew.
FRESH_SECONDS: Final = 5.0
# Agents asked at once, and how long one operator waits for all of them.
ASKED_AT_ONCE: Final = 32
LONGEST_SURVEY_SECONDS: Final = 4.0


class StatusPoller:
    """Asks the agents whose status here is absent or old.

    Nothing is asked but on an operator's request, and one survey runs at a
    time, so that many operators cost no more than one.
    """

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._turn = asyncio.Lock()
        self._records: dict[TargetName, TargetRecord] = {}

    async def read(
        self, select: Callable[[ListedTarget], bool]
    ) -> tuple[TargetRecord, ...]:
        """The selected targets; those that gave no word have no status."""
        async with self._turn:
            agents = tuple(
                agent
                for agent in self._membership.roster.agents
                if select(agent)
            )
            self._forget_old()
            await self._ask_all(agents)
            return tuple(self._find(agent) for agent in agents)

    def _forget_old(self) -> None:
        self._records = {
            target: record
            for target, record in self._records.items()
            if is_fresh(record)
        }

    async def _ask_all(self, agents: Collection[ListedTarget]) -> None:
        slots = asyncio.Semaphore(ASKED_AT_ONCE)
        old = [agent for agent in agents if not is_fresh(self._find(agent))]
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(LONGEST_SURVEY_SECONDS),
                asyncio.TaskGroup() as group,
            ):
                for agent in old:
                    group.create_task(self._ask(agent, slots))

    async def _ask(self, agent: ListedTarget, slots: asyncio.Semaphore) -> None:
        membership = self._membership
        async with slots:
            status = await membership.agent_port.heartbeat(
                agent.address, build_heartbeat(membership)
            )
        if isinstance(status, TargetStatus) and status.target == agent.target:
            self._records[agent.target] = dataclasses.replace(
                self._find(agent),
                status=status,
                status_at=read_clock(),
                leaving=agent.leaving or status.leaving,
            )

    def _find(self, agent: ListedTarget) -> TargetRecord:
        """The newest word on a target, from watching it or from asking."""
        watched = self._membership.directory.find(agent.target)
        asked = self._records.get(agent.target)
        if watched is None:
            return asked or make_record(agent)
        if asked is None or asked.status_at <= watched.status_at:
            return watched
        return asked


def is_fresh(record: TargetRecord) -> bool:
    """Tell whether a target's status may be shown without asking."""
    if record.status is None:
        return False
    return read_clock() - record.status_at < FRESH_SECONDS


def make_record(agent: ListedTarget) -> TargetRecord:
    """The record of a target that nothing was heard from."""
    return TargetRecord(
        target=agent.target,
        deployment=agent.deployment,
        failure_domain=agent.failure_domain,
        region=agent.region,
        address=agent.address,
        leaving=agent.leaving,
    )
