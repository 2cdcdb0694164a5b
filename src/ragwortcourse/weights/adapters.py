"""Load and unload adapters, each with its own manifest.

Adapters are loaded after the model version that they belong to.
"""

import asyncio
from typing import Final

from ragwortcourse.configuration.deployment import Adapter
from ragwortcourse.engines.engine import OrderAction, OrderConfirmed
from ragwortcourse.identifiers import AdapterName
from ragwortcourse.weights.activation import (
    ActivationFailed,
    confirm_version,
    load_version,
    wait_for_effect,
)
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.collect import CollectFailed
from ragwortcourse.weights.orders import OrderSubject, order_engine
from ragwortcourse.weights.receipt import receive_weights
from ragwortcourse.weights.wanted import WantedWeights

IDLE_POLL_SECONDS: Final = 0.25


async def reconcile_adapters(
    agent_weights: AgentWeights, wanted: WantedWeights
) -> str:
    """Load the wanted adapters and unload all others.

    :return: failures joined by semicolons; empty on success.
    """
    by_name = {adapter.name: adapter for adapter in wanted.adapters}
    for name, digest in tuple(agent_weights.state.adapters.items()):
        kept = by_name.get(name)
        if kept is None or kept.manifest_sha256 != digest:
            await remove_adapter(agent_weights, wanted, name)
    problems = [
        await deploy_adapter(agent_weights, wanted, adapter)
        for adapter in wanted.adapters
        if adapter.name not in agent_weights.state.adapters
    ]
    refresh_adapters(agent_weights, wanted)
    return '; '.join(filter(None, problems))


def refresh_adapters(
    agent_weights: AgentWeights, wanted: WantedWeights
) -> None:
    """Admit requests for the adapters that are loaded now.

    Does nothing if the gate no longer admits the model version, for example
    because the engine restarted.
    """
    if agent_weights.served.allows(wanted.model, wanted.version, None):
        confirm_version(
            agent_weights, wanted, frozenset(agent_weights.state.adapters)
        )


async def remove_adapter(
    agent_weights: AgentWeights, wanted: WantedWeights, name: AdapterName
) -> None:
    """Unload an adapter after its last request has ended."""
    agent_weights.state.adapters.pop(name)
    refresh_adapters(agent_weights, wanted)
    count = agent_weights.ports.count_running
    # The gate counts requests but has no event for a single adapter.
    while count(wanted.model, wanted.version, name):  # noqa: ASYNC110
        await asyncio.sleep(IDLE_POLL_SECONDS)
    subject = OrderSubject(
        model=wanted.model, version=wanted.version, adapter=name
    )
    await order_engine(agent_weights, OrderAction.UNLOAD, subject)


async def deploy_adapter(
    agent_weights: AgentWeights, wanted: WantedWeights, adapter: Adapter
) -> str:
    """Receive, load and activate one adapter.

    :return: the failure; empty on success.
    """
    subject = OrderSubject(
        model=wanted.model, version=wanted.version, adapter=adapter.name
    )
    received = await receive_weights(
        agent_weights, adapter.manifest_sha256, subject, str(adapter.version)
    )
    if isinstance(received, CollectFailed):
        return f'adapter {adapter.name}: {received.detail}'
    loaded = await load_version(agent_weights, subject, received.manifest)
    if isinstance(loaded, ActivationFailed):
        return f'adapter {adapter.name}: {loaded.detail}'
    outcome = await order_engine(agent_weights, OrderAction.ACTIVATE, subject)
    if not isinstance(outcome, OrderConfirmed):
        return f'adapter {adapter.name}: {outcome.detail}'
    if not await wait_for_effect(agent_weights, OrderAction.ACTIVATE, subject):
        return f'adapter {adapter.name}: the engine does not confirm it'
    agent_weights.state.adapters[adapter.name] = adapter.manifest_sha256
    refresh_adapters(agent_weights, wanted)
    return ''
