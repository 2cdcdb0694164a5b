"""Stop admission to former versions and unload them from the engine."""

from ragwortcourse.engines.engine import (
    EngineState,
    EngineVersion,
    OrderAction,
)
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.orders import OrderSubject, order_engine
from ragwortcourse.weights.wanted import WantedWeights


def retire_others(
    agent_weights: AgentWeights, wanted: WantedWeights | None
) -> None:
    """Stop admission to all versions other than the wanted one."""
    for served in agent_weights.served.versions:
        kept = wanted is not None and (
            (served.model, served.version) == (wanted.model, wanted.version)
        )
        if not kept:
            agent_weights.served.remove(served.model, served.version)


async def unload_others(
    agent_weights: AgentWeights, wanted: WantedWeights | None
) -> None:
    """Unload unwanted versions that have no running requests."""
    state = await agent_weights.ports.engine.describe()
    if not isinstance(state, EngineState):
        return
    for held in state.versions:
        if _is_removable(agent_weights, wanted, held):
            subject = OrderSubject(model=held.model, version=held.version)
            await order_engine(agent_weights, OrderAction.UNLOAD, subject)


def _is_removable(
    agent_weights: AgentWeights,
    wanted: WantedWeights | None,
    held: EngineVersion,
) -> bool:
    if wanted is not None and _is_wanted(wanted, held):
        return False
    if agent_weights.served.allows(held.model, held.version, None):
        return False
    return not agent_weights.ports.count_running(held.model, held.version, None)


def _is_wanted(wanted: WantedWeights, held: EngineVersion) -> bool:
    named = (held.model, held.version)
    return named == (wanted.model, wanted.version)
