"""Monitors the agent's target, and drains the agent before it stops."""

import asyncio
import logging
from typing import Final, NoReturn

from ragwortcourse.agent.agent import Agent

DESCRIBE_PERIOD_SECONDS: Final = 0.5

LOGGER: Final = logging.getLogger(__name__)


async def run_target_monitors(agent: Agent) -> NoReturn:
    """Update the gate from the target's state and the configuration."""
    async with asyncio.TaskGroup() as group:
        group.create_task(poll_state(agent))
        group.create_task(apply_withdrawals_to_gate(agent))
    raise AssertionError('a target monitor returned')


async def poll_state(agent: Agent) -> NoReturn:
    """Poll the state of the target."""
    while True:
        agent.limit.note_state(await agent.engine.describe())
        agent.gate.admit()
        await asyncio.sleep(DESCRIBE_PERIOD_SECONDS)


async def apply_withdrawals_to_gate(agent: Agent) -> NoReturn:
    """Refuse queued work as soon as the target is withdrawn.

    A target that is reinstated starts cold.
    """
    withdrawn = False
    while True:
        was_withdrawn = withdrawn
        withdrawn = agent.find_admission_refusal() is not None
        if withdrawn != was_withdrawn:
            LOGGER.info(
                'target admission changed', extra={'withdrawn': withdrawn}
            )
            agent.limit.reset_to_cold('withdrawn')
        agent.gate.admit()
        await agent.holder.wait_for_change()


async def drain_agent(agent: Agent) -> None:
    """Refuse new work and return once all admitted work has ended."""
    agent.leaving = True
    LOGGER.info('agent draining; new attempts are refused')
    agent.gate.admit()
    await agent.gate.idle.wait()
    await agent.wait_for_background()
