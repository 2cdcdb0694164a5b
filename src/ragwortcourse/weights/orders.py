"""Fenced orders to the engine; lost answers are resolved from its state."""

import asyncio
import dataclasses
from collections.abc import Callable

from ragwortcourse.configuration.engine_role import EngineRole
from ragwortcourse.engines.engine import (
    EngineOrder,
    EngineSilent,
    EngineState,
    EngineVersion,
    OrderAction,
    OrderConfirmed,
    OrderOutcome,
    OrderRefused,
    OrderUnknown,
)
from ragwortcourse.identifiers import (
    AdapterName,
    FencingNumber,
    ModelName,
    VersionName,
)
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.manifest import Manifest
from ragwortcourse.weights.order_lease import (
    LONGEST_ORDER_SECONDS,
    LeaseRefused,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderSubject:
    """Subject of an order.

    :param version: version of the model, also for orders about an adapter.
    :param adapter: adapter that the order is about; None for the model.
    :param manifest: manifest of the weights to load.
    :param role: role for the engine to take.
    """

    model: ModelName
    version: VersionName
    adapter: AdapterName | None = None
    manifest: Manifest | None = None
    role: EngineRole | None = None


def always() -> bool:
    """Tell that an order needs no turn in a roll-out."""
    return True


async def order_engine(
    agent_weights: AgentWeights,
    action: OrderAction,
    subject: OrderSubject,
    has_turn: Callable[[], bool] = always,
) -> OrderOutcome:
    """Send one order while holding the order lease.

    :param has_turn: tells whether the target still has its turn in the
        roll-out, which may lapse while the order lease is acquired.
    """
    lease = agent_weights.order_lease
    held = await lease.acquire()
    if isinstance(held, LeaseRefused):
        return OrderRefused(detail=held.detail, stale=held.superseded)
    try:
        if not (lease.is_held() and has_turn()):
            return OrderRefused(detail='the lease lapsed before the order')
        outcome = await _send(agent_weights, held.fencing, action, subject)
    finally:
        await lease.release()
    if isinstance(outcome, OrderRefused) and outcome.stale:
        lease.superseded = True
    return outcome


async def _send(
    agent_weights: AgentWeights,
    fencing: FencingNumber,
    action: OrderAction,
    subject: OrderSubject,
) -> OrderOutcome:
    order = EngineOrder(
        fencing=fencing,
        action=action,
        model=subject.model,
        version=subject.version,
        adapter=subject.adapter,
        role=subject.role,
        chunks=len(subject.manifest.chunks) if subject.manifest else 0,
        sha256=subject.manifest.sha256 if subject.manifest else None,
    )
    lease = agent_weights.order_lease
    try:
        async with asyncio.timeout(LONGEST_ORDER_SECONDS):
            outcome = await agent_weights.ports.engine.order(order)
    except TimeoutError:
        outcome = OrderUnknown(detail=f'{action}: no answer in time')
    except asyncio.CancelledError:
        lease.note_unanswered()
        raise
    if isinstance(outcome, OrderUnknown):
        # The state does not tell an order from an earlier one.
        is_first = not lease.has_unanswered
        lease.note_unanswered()
        if is_first:
            outcome = await settle_order(
                agent_weights, action, subject, outcome
            )
    if isinstance(outcome, OrderConfirmed):
        lease.note_followed()
    return outcome


async def settle_order(
    agent_weights: AgentWeights,
    action: OrderAction,
    subject: OrderSubject,
    unknown: OrderUnknown,
) -> OrderOutcome:
    """Resolve an order with a lost answer from the engine state.

    An adapter that is to be loaded stays unresolved: the state does not tell
    it from a former one of the same name.
    """
    if action is OrderAction.LOAD and subject.adapter is not None:
        return unknown
    state = await agent_weights.ports.engine.describe()
    if isinstance(state, EngineSilent):
        return unknown
    if shows_effect(state, action, subject):
        return OrderConfirmed()
    return unknown


def shows_effect(
    state: EngineState, action: OrderAction, subject: OrderSubject
) -> bool:
    """Return whether the engine state shows the effect of an order."""
    if action is OrderAction.ROLE:
        return state.role == subject.role
    version = find_version(state, subject.model, subject.version)
    if subject.adapter is not None:
        present = version is not None and subject.adapter in version.adapters
        return present != (action is OrderAction.UNLOAD)
    if action is OrderAction.UNLOAD:
        return version is None
    if version is None:
        return False
    if action is OrderAction.ACTIVATE:
        return version.complete and version.active
    return action is OrderAction.LOAD and version.complete


def find_version(
    state: EngineState, model: ModelName, version: VersionName
) -> EngineVersion | None:
    """Return a version from the engine state, or None if it is absent."""
    for held in state.versions:
        if held.model == model and held.version == version:
            return held
    return None
