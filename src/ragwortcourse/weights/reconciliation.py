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


async def run_reconciliation(landing: AgentWeights) -> None:
    """Reconcile the target with the configuration forever."""
    if not landing.agent.is_model_engine:
        return
    while True:
        wanted = read_wanted(landing)
        if wanted != landing.state.wanted:
            forget_others(landing, wanted)
        landing.state.wanted = wanted
        await _work_until_changed(landing, wanted)


def read_wanted(landing: AgentWeights) -> WantedWeights | None:
    """Return the weights that the configuration wants on this target."""
    document = landing.holder.document
    if document is None:
        return None
    if is_cancelled(document.configuration, landing.agent.deployment):
        return None
    return find_wanted(
        document.configuration,
        landing.agent.deployment,
        landing.own,
        landing.ports.neighbours(),
    )


def forget_others(landing: AgentWeights, wanted: WantedWeights | None) -> None:
    """Close transfers whose manifests are no longer wanted."""
    kept = frozenset() if wanted is None else wanted.digests
    for digest in tuple(landing.exchange.transfers):
        if digest not in kept:
            landing.close_transfer(digest)


async def _work_until_changed(
    landing: AgentWeights, wanted: WantedWeights | None
) -> None:
    work = asyncio.create_task(_reconcile_forever(landing, wanted))
    try:
        while read_wanted(landing) == wanted:
            await _wait_for_change(landing)
    finally:
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)


async def _wait_for_change(landing: AgentWeights) -> None:
    configured = asyncio.create_task(landing.holder.wait_for_change())
    cancelled = asyncio.create_task(landing.changed.wait())
    tasks = (configured, cancelled)
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


async def _reconcile_forever(
    landing: AgentWeights, wanted: WantedWeights | None
) -> None:
    while True:
        detail = await reconcile(landing, wanted)
        if detail and detail != landing.state.detail:
            LOGGER.warning(
                'weights not reconciled; retrying', extra={'detail': detail}
            )
        landing.state.detail = detail
        await asyncio.sleep(RETRY_SECONDS if detail else PERIOD_SECONDS)


async def reconcile(landing: AgentWeights, wanted: WantedWeights | None) -> str:
    """Bring the target to the wanted state.

    :return: the failure; empty on success.
    """
    state = await landing.ports.engine.describe()
    if not isinstance(state, EngineState):
        return f'the engine is silent: {state.detail}'
    note_instance(landing, state)
    document = landing.holder.document
    if document is None:
        return ''
    if wanted is None:
        if is_cancelled(document.configuration, landing.agent.deployment):
            return ''
        retire_others(landing, None)
        await unload_others(landing, None)
        return ''
    detail = ''
    if not landing.served.versions:
        detail = await keep_role(landing, state, wanted)
    if not detail:
        detail = await _land_model(landing, state, wanted)
    if not detail:
        detail = await keep_role(landing, state, wanted)
    if not detail:
        detail = await reconcile_adapters(landing, wanted)
    if not detail:
        await unload_others(landing, wanted)
    return detail


def note_instance(landing: AgentWeights, state: EngineState) -> None:
    """Discard recorded engine state if the engine has restarted."""
    if state.instance == landing.state.instance:
        return
    if landing.state.instance:
        landing.served.clear()
    landing.state.adapters.clear()
    landing.state.role = ''
    landing.state.role_retry_at = 0
    landing.state.instance = state.instance


async def _land_model(
    landing: AgentWeights, state: EngineState, wanted: WantedWeights
) -> str:
    subject = OrderSubject(model=wanted.model, version=wanted.version)
    if is_serving(state, wanted):
        if not landing.served.allows(wanted.model, wanted.version, None):
            landing.state.adapters.clear()
            confirm_version(landing, wanted, frozenset())
        retire_others(landing, wanted)
        return ''
    held = find_version(state, wanted.model, wanted.version)
    if held is None or not held.complete:
        received = await receive_weights(
            landing, wanted.manifest_sha256, subject, str(wanted.version)
        )
        if isinstance(received, CollectFailed):
            return received.detail
        loaded = await load_version(landing, subject, received.manifest)
        if isinstance(loaded, ActivationFailed):
            return loaded.detail
    landing.state.adapters.clear()
    activated = await activate_version(landing, wanted)
    return activated.detail if isinstance(activated, ActivationFailed) else ''
