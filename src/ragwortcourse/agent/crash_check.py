"""Finds out whether the target crashed after an answer was lost."""

import asyncio
import logging
from typing import Final

from ragwortcourse.agent.agent import Agent
from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import EngineSilent, EngineState

# A sound target may be silent for a second or two. A crashed one refuses
# connections or is back as another instance, unless its host is lost.
SILENCE_SECONDS: Final = 3.0
POLL_SECONDS: Final = 0.25

LOGGER: Final = logging.getLogger(__name__)


async def check_for_crash(agent: Agent, instance: str | None) -> None:
    """Mark the requests in flight as suspect if the target crashed.

    While the target is silent, this is found out in the background.

    :param instance: engine instance that lost an answer; none if unknown.
    """
    state = await agent.engine.describe()
    if not is_silent(state):
        if has_crashed(state, instance):
            agent.suspects.mark_crash_suspects(instance)
        return
    if agent.suspects.begin_check(instance):
        LOGGER.info('target silent after a lost answer; asked again')
        agent.spawn(await_state(agent, instance))


async def await_state(agent: Agent, instance: str | None) -> None:
    """Ask a silent target until it answers, or has been silent for long."""
    silent_until = read_clock() + SILENCE_SECONDS
    crashed = False
    try:
        state = await agent.engine.describe()
        while is_silent(state) and read_clock() < silent_until:
            await asyncio.sleep(POLL_SECONDS)
            state = await agent.engine.describe()
        crashed = has_crashed(state, instance)
    finally:
        agent.suspects.end_check(instance, crashed=crashed)


def is_silent(state: EngineState | EngineSilent) -> bool:
    """Tell whether the target neither answers nor refuses connections."""
    return isinstance(state, EngineSilent) and not state.refused


def has_crashed(
    state: EngineState | EngineSilent, instance: str | None
) -> bool:
    """Tell whether an instance no longer runs."""
    return isinstance(state, EngineSilent) or state.instance != instance
