"""Polls the status of targets for operators.

An entry daemon watches only some targets; agents of the others are asked.
"""

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

# A younger status is shown without asking the agent again.
FRESH_SECONDS: Final = 5.0
# Limits of one survey, which polls all selected agents: concurrent requests,
# and the total time that an operator waits.
CONCURRENT_POLLS_LIMIT: Final = 32
MAX_SURVEY_SECONDS: Final = 4.0


class StatusPoller:
    """Asks agents whose status is absent or stale.

    Agents are asked only for a request of an operator, and one survey runs
    at a time, so that many operators cause no more load than one.
    """

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._survey_lock = asyncio.Lock()
        self._records: dict[TargetName, TargetRecord] = {}

    async def read(
        self, select: Callable[[ListedTarget], bool]
    ) -> tuple[TargetRecord, ...]:
        """Return the selected targets, after polling the stale ones.

        Targets that never answered have no status.
        """
        async with self._survey_lock:
            agents = tuple(
                agent
                for agent in self._membership.roster.agents
                if select(agent)
            )
            self._drop_stale()
            await self._ask_all(agents)
            return tuple(self._find(agent) for agent in agents)

    def _drop_stale(self) -> None:
        self._records = {
            target: record
            for target, record in self._records.items()
            if is_fresh(record)
        }

    async def _ask_all(self, agents: Collection[ListedTarget]) -> None:
        slots = asyncio.Semaphore(CONCURRENT_POLLS_LIMIT)
        stale = [agent for agent in agents if not is_fresh(self._find(agent))]
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(MAX_SURVEY_SECONDS),
                asyncio.TaskGroup() as group,
            ):
                for agent in stale:
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
        """Return the newest record of a target, watched or polled."""
        watched = self._membership.directory.find(agent.target)
        polled = self._records.get(agent.target)
        if watched is None:
            return polled or make_record(agent)
        if polled is None or polled.status_at <= watched.status_at:
            return watched
        return polled


def is_fresh(record: TargetRecord) -> bool:
    """Tell whether a target's status may be shown without polling."""
    if record.status is None:
        return False
    return read_clock() - record.status_at < FRESH_SECONDS


def make_record(agent: ListedTarget) -> TargetRecord:
    """Build the record of a target without a status."""
    return TargetRecord(
        target=agent.target,
        deployment=agent.deployment,
        failure_domain=agent.failure_domain,
        region=agent.region,
        address=agent.address,
        leaving=agent.leaving,
    )
