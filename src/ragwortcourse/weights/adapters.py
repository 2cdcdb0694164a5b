"""Adapters: each has its own weights and comes after its model version."""

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
    landing: AgentWeights, wanted: WantedWeights
) -> str:
    """Bring the wanted adapters in, and the others out.

    :return: what went wrong, empty where nothing did.
    """
    by_name = {adapter.name: adapter for adapter in wanted.adapters}
    for name, digest in tuple(landing.state.adapters.items()):
        kept = by_name.get(name)
        if kept is None or kept.manifest_sha256 != digest:
            await remove_adapter(landing, wanted, name)
    problems = [
        await land_adapter(landing, wanted, adapter)
        for adapter in wanted.adapters
        if adapter.name not in landing.state.adapters
    ]
    refresh_adapters(landing, wanted)
    return '; '.join(filter(None, problems))


def refresh_adapters(landing: AgentWeights, wanted: WantedWeights) -> None:
    """Let the gate answer with the adapters that are in now.

    Never brings a version back that was taken from the gate meanwhile, as
    when the engine has started anew.
    """
    if landing.served.allows(wanted.model, wanted.version, None):
        confirm_version(landing, wanted, frozenset(landing.state.adapters))


async def remove_adapter(
    landing: AgentWeights, wanted: WantedWeights, name: AdapterName
) -> None:
    """Take an adapter out, once nothing runs on it."""
    landing.state.adapters.pop(name)
    refresh_adapters(landing, wanted)
    count = landing.ports.count_running
    # The gate counts down; it has no event for a single adapter.
    while count(wanted.model, wanted.version, name):  # noqa: ASYNC110
        await asyncio.sleep(IDLE_POLL_SECONDS)
    subject = OrderSubject(
        model=wanted.model, version=wanted.version, adapter=name
    )
    await order_engine(landing, OrderAction.UNLOAD, subject)


async def land_adapter(
    landing: AgentWeights, wanted: WantedWeights, adapter: Adapter
) -> str:
    """Bring one adapter in; empty, or what went wrong."""
    subject = OrderSubject(
        model=wanted.model, version=wanted.version, adapter=adapter.name
    )
    received = await receive_weights(
        landing, adapter.manifest_sha256, subject, str(adapter.version)
    )
    if isinstance(received, CollectFailed):
        return f'adapter {adapter.name}: {received.detail}'
    loaded = await load_version(landing, subject, received.manifest)
    if isinstance(loaded, ActivationFailed):
        return f'adapter {adapter.name}: {loaded.detail}'
    outcome = await order_engine(landing, OrderAction.ACTIVATE, subject)
    if not isinstance(outcome, OrderConfirmed):
        return f'adapter {adapter.name}: {outcome.detail}'
    if not await wait_for_effect(landing, OrderAction.ACTIVATE, subject):
        return f'adapter {adapter.name}: the engine does not confirm it'
    landing.state.adapters[adapter.name] = adapter.manifest_sha256
    refresh_adapters(landing, wanted)
    return ''
