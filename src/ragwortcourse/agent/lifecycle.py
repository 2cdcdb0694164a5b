"""The agent's view of its target over time, and the end of both."""

import asyncio
import logging
from typing import Final, NoReturn

from ragwortcourse.agent.agent import Agent

DESCRIBE_PERIOD_SECONDS: Final = 0.5

LOGGER: Final = logging.getLogger(__name__)


async def run_target_monitors(agent: Agent) -> NoReturn:
    """Keep the gate's view of the target and of the configuration fresh."""
    async with asyncio.TaskGroup() as group:
        group.create_task(poll_state(agent))
        group.create_task(apply_withdrawals_to_gate(agent))
    raise AssertionError('both tasks are endless')


async def poll_state(agent: Agent) -> NoReturn:
    """Ask the target for its state again and again."""
    while True:
        agent.limit.note_state(await agent.engine.describe())
        agent.gate.admit()
        await asyncio.sleep(DESCRIBE_PERIOD_SECONDS)


async def apply_withdrawals_to_gate(agent: Agent) -> NoReturn:
    """Refuse waiting work as soon as the target is withdrawn.

    A target that returns starts cold.
    """
    withdrawn = False
    while True:
        was_withdrawn = withdrawn
        withdrawn = agent.find_admission_refusal() is not None
        if withdrawn != was_withdrawn:
            LOGGER.info('withdrawal', extra={'withdrawn': withdrawn})
            agent.limit.reset_to_cold('withdrawn')
        agent.gate.admit()
        await agent.holder.wait_for_change()


async def drain_agent(agent: Agent) -> None:
    """Take no new work and return once all that was taken has ended."""
    agent.leaving = True
    LOGGER.info('agent is leaving')
    agent.gate.admit()
    await agent.gate.idle.wait()
    await agent.wait_for_background()
