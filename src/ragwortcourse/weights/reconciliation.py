"""Agent loop that makes its target serve the configured version."""

import asyncio
import logging
from typing import Final

from ragwortcourse.engines.engine import EngineState
from ragwortcourse.weights.activation import (
    ActivationFailed,
    activate_version,
    confirm_version,
    is_serving,
    load_version,
)
from ragwortcourse.weights.adapters import reconcile_adapters
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.collect import CollectFailed
from ragwortcourse.weights.orders import OrderSubject, find_version
from ragwortcourse.weights.receipt import receive_weights
from ragwortcourse.weights.retirement import retire_others, unload_others
from ragwortcourse.weights.roles import keep_role
from ragwortcourse.weights.wanted import (
    WantedWeights,
    find_wanted,
    is_cancelled,
)

LOGGER: Final = logging.getLogger(__name__)
# Poll interval of the engine while nothing changes.
PERIOD_SECONDS: Final = 2.0
# Longer than the poll interval, as a failure may need an operator.
RETRY_SECONDS: Final = 10.0


async def run_reconciliation(agent_weights: AgentWeights) -> None:
    """Reconcile the target with the configuration forever."""
    if not agent_weights.agent.is_model_engine:
        return
    while True:
        wanted = read_wanted(agent_weights)
        if wanted != agent_weights.state.wanted:
            forget_others(agent_weights, wanted)
        agent_weights.state.wanted = wanted
        await _work_until_changed(agent_weights, wanted)


def read_wanted(agent_weights: AgentWeights) -> WantedWeights | None:
    """Return the weights that the configuration wants on this target."""
    document = agent_weights.holder.document
    if document is None:
        return None
    if is_cancelled(document.configuration, agent_weights.agent.deployment):
        return None
    return find_wanted(
        document.configuration,
        agent_weights.agent.deployment,
        agent_weights.own,
        agent_weights.ports.list_peers(),
    )


def forget_others(
    agent_weights: AgentWeights, wanted: WantedWeights | None
) -> None:
    """Close transfers whose manifests are no longer wanted."""
    kept = frozenset() if wanted is None else wanted.digests
    for digest in tuple(agent_weights.exchange.transfers):
        if digest not in kept:
            agent_weights.close_transfer(digest)


async def _work_until_changed(
    agent_weights: AgentWeights, wanted: WantedWeights | None
) -> None:
    work = asyncio.create_task(_reconcile_forever(agent_weights, wanted))
    try:
        while read_wanted(agent_weights) == wanted:
            await _wait_for_change(agent_weights)
    finally:
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)


async def _wait_for_change(agent_weights: AgentWeights) -> None:
    configured = asyncio.create_task(agent_weights.holder.wait_for_change())
    cancelled = asyncio.create_task(agent_weights.changed.wait())
    tasks = (configured, cancelled)
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


async def _reconcile_forever(
    agent_weights: AgentWeights, wanted: WantedWeights | None
) -> None:
    while True:
        detail = await reconcile(agent_weights, wanted)
        if detail and detail != agent_weights.state.detail:
            LOGGER.warning(
                'weights not reconciled; retrying', extra={'detail': detail}
            )
        agent_weights.state.detail = detail
        await asyncio.sleep(RETRY_SECONDS if detail else PERIOD_SECONDS)


async def reconcile(
    agent_weights: AgentWeights, wanted: WantedWeights | None
) -> str:
    """Bring the target to the wanted state.

    :return: the failure; empty on success.
    """
    state = await agent_weights.ports.engine.describe()
    if not isinstance(state, EngineState):
        return f'the engine is silent: {state.detail}'
    note_instance(agent_weights, state)
    document = agent_weights.holder.document
    if document is None:
        return ''
    if wanted is None:
        if is_cancelled(document.configuration, agent_weights.agent.deployment):
            return ''
        retire_others(agent_weights, None)
        await unload_others(agent_weights, None)
        return ''
    detail = ''
    if not agent_weights.served.versions:
        detail = await keep_role(agent_weights, wanted)
    if not detail:
        detail = await _land_model(agent_weights, wanted)
    if not detail:
        detail = await keep_role(agent_weights, wanted)
    if not detail:
        detail = await reconcile_adapters(agent_weights, wanted)
    if not detail:
        await unload_others(agent_weights, wanted)
    return detail


def note_instance(agent_weights: AgentWeights, state: EngineState) -> None:
    """Discard recorded engine state if the engine has restarted."""
    if state.instance == agent_weights.state.instance:
        return
    if agent_weights.state.instance:
        agent_weights.served.clear()
    agent_weights.state.adapters.clear()
    agent_weights.state.role = ''
    agent_weights.state.role_retry_at = 0
    agent_weights.state.instance = state.instance


async def _land_model(
    agent_weights: AgentWeights, wanted: WantedWeights
) -> str:
    # An engine may have restarted while it was ordered its role.
    state = await agent_weights.ports.engine.describe()
    if not isinstance(state, EngineState):
        return f'the engine is silent: {state.detail}'
    note_instance(agent_weights, state)
    subject = OrderSubject(model=wanted.model, version=wanted.version)
    is_admitted = agent_weights.served.allows(
        wanted.model, wanted.version, None
    )
    # An earlier order without an answer may end what the state shows; the
    # order to activate the version comes after it.
    is_settled = is_admitted or not agent_weights.order_lease.has_unanswered
    if is_serving(state, wanted) and is_settled:
        if not is_admitted:
            agent_weights.state.adapters.clear()
            confirm_version(agent_weights, wanted, frozenset())
        retire_others(agent_weights, wanted)
        return ''
    held = find_version(state, wanted.model, wanted.version)
    if held is None or not held.complete:
        received = await receive_weights(
            agent_weights, wanted.manifest_sha256, subject, str(wanted.version)
        )
        if isinstance(received, CollectFailed):
            return received.detail
        loaded = await load_version(agent_weights, subject, received.manifest)
        if isinstance(loaded, ActivationFailed):
            return loaded.detail
    agent_weights.state.adapters.clear()
    activated = await activate_version(agent_weights, wanted)
    return activated.detail if isinstance(activated, ActivationFailed) else ''
