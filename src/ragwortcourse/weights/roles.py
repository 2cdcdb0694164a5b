"""Order engines to take the role that their deployment names."""

from collections.abc import Callable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    EngineState,
    OrderAction,
    OrderConfirmed,
    OrderRefused,
)
from ragwortcourse.weights.activation import (
    Activated,
    ActivationFailed,
    ActivationOutcome,
    change_under_rollout_lease,
    wait_for_effect,
)
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.orders import OrderSubject, order_engine
from ragwortcourse.weights.wanted import WantedWeights

# A failed order does not drain a serving target again before this delay.
RETRY_SECONDS: Final = 300.0


async def keep_role(agent_weights: AgentWeights, wanted: WantedWeights) -> str:
    """Order the wanted role unless the engine has it.

    :return: the failure; empty on success.
    """
    if wanted.role is None:
        return ''
    state = await agent_weights.ports.engine.describe()
    if not isinstance(state, EngineState):
        return f'the engine is silent: {state.detail}'
    if _has_role(agent_weights, state, wanted):
        return ''
    if (
        agent_weights.served.versions
        and read_clock() < agent_weights.state.role_retry_at
    ):
        return f'role {wanted.role}: not followed'
    agent_weights.state.role_retry_at = read_clock() + RETRY_SECONDS

    async def change(has_turn: Callable[[], bool]) -> ActivationOutcome:
        return await _order_role(agent_weights, wanted, has_turn)

    outcome = await change_under_rollout_lease(
        agent_weights, wanted, None, change
    )
    return outcome.detail if isinstance(outcome, ActivationFailed) else ''


def _has_role(
    agent_weights: AgentWeights, state: EngineState, wanted: WantedWeights
) -> bool:
    """Return whether the engine reports or has confirmed the wanted role."""
    return (state.role or agent_weights.state.role) == wanted.role


async def _order_role(
    agent_weights: AgentWeights,
    wanted: WantedWeights,
    has_turn: Callable[[], bool],
) -> ActivationOutcome:
    subject = OrderSubject(
        model=wanted.model, version=wanted.version, role=wanted.role
    )
    former = agent_weights.state.role
    # From here on the engine may have either role.
    agent_weights.state.role = ''
    outcome = await order_engine(
        agent_weights, OrderAction.ROLE, subject, has_turn
    )
    if isinstance(outcome, OrderRefused):
        agent_weights.state.role = former
    if not isinstance(outcome, OrderConfirmed):
        return ActivationFailed(detail=f'role {wanted.role}: {outcome.detail}')
    agent_weights.state.role = str(wanted.role)
    state = await agent_weights.ports.engine.describe()
    if isinstance(state, EngineState) and state.role is None:
        return Activated()
    if await wait_for_effect(agent_weights, OrderAction.ROLE, subject):
        return Activated()
    return ActivationFailed(detail=f'role {wanted.role}: not confirmed')
