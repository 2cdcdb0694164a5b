"""Load and activate model versions in an engine."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    EngineState,
    EngineVersion,
    OrderAction,
    OrderConfirmed,
)
from ragwortcourse.identifiers import AdapterName
from ragwortcourse.messages.target_status import ServedVersion
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.manifest import Manifest
from ragwortcourse.weights.orders import (
    OrderSubject,
    always,
    find_version,
    order_engine,
    shows_effect,
)
from ragwortcourse.weights.retirement import retire_others
from ragwortcourse.weights.rollout_lease import RolloutLease
from ragwortcourse.weights.wanted import WantedWeights

# The state of an engine lags behind its orders, so it is polled for this long.
CONFIRM_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.25
# Longest wait for requests on the former version before the change.
FINISH_SECONDS: Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Activated:
    """The engine confirms that it answers with the version."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ActivationFailed:
    """The version is not served."""

    detail: str


ActivationOutcome = Activated | ActivationFailed
# Takes what tells whether the target still has its turn in the roll-out.
Change = Callable[[Callable[[], bool]], Awaitable[ActivationOutcome]]


async def load_version(
    agent_weights: AgentWeights, subject: OrderSubject, manifest: Manifest
) -> ActivationOutcome:
    """Order the engine to load stored chunks while it keeps serving."""
    subject = dataclasses.replace(subject, manifest=manifest)
    outcome = await order_engine(agent_weights, OrderAction.LOAD, subject)
    if isinstance(outcome, OrderConfirmed):
        return Activated()
    return ActivationFailed(detail=f'load: {outcome.detail}')


async def activate_version(
    agent_weights: AgentWeights, wanted: WantedWeights
) -> ActivationOutcome:
    """Activate a loaded version while holding the roll-out lease."""
    subject = OrderSubject(model=wanted.model, version=wanted.version)

    async def change(has_turn: Callable[[], bool]) -> ActivationOutcome:
        outcome = await _activate(agent_weights, subject, has_turn)
        if isinstance(outcome, Activated):
            confirm_version(agent_weights, wanted, frozenset())
        return outcome

    return await change_under_rollout_lease(
        agent_weights, wanted, wanted, change
    )


async def change_under_rollout_lease(
    agent_weights: AgentWeights,
    wanted: WantedWeights,
    kept: WantedWeights | None,
    change: Change,
) -> ActivationOutcome:
    """Change an idle engine while holding the roll-out lease.

    :param kept: version that the gate serves after the change; None restores
        the former versions, as does a change that failed.
    """
    lease = RolloutLease(
        table=agent_weights.ports.table,
        target=agent_weights.agent.target,
        deployment=wanted.deployment,
        batch=wanted.batch,
        rng=agent_weights.rng,
    )
    if agent_weights.served.versions:
        agent_weights.state.detail = 'waits for its turn in the roll-out'
        await lease.acquire()
    try:
        return await _change_at_rest(agent_weights, kept, lease, change)
    finally:
        await lease.release()


async def _change_at_rest(
    agent_weights: AgentWeights,
    kept: WantedWeights | None,
    lease: RolloutLease,
    change: Change,
) -> ActivationOutcome:
    former = agent_weights.served.versions
    await _finish_running(agent_weights, kept)
    outcome: ActivationOutcome
    has_turn = lease.is_held if former else always
    if has_turn():
        outcome = await change(has_turn)
    else:
        outcome = ActivationFailed(detail='the turn lapsed')
    if kept is None or isinstance(outcome, ActivationFailed):
        await _restore_former(agent_weights, former)
    return outcome


async def _finish_running(
    agent_weights: AgentWeights, kept: WantedWeights | None
) -> None:
    """Stop admission to the former versions and wait for their requests.

    An engine may answer only with the version activated last, so requests
    on the former version must end before the change.
    """
    former = agent_weights.served.versions
    retire_others(agent_weights, kept)
    until = read_clock() + FINISH_SECONDS
    while read_clock() < until:
        count = agent_weights.ports.count_running
        if not any(count(each.model, each.version, None) for each in former):
            return
        await asyncio.sleep(POLL_SECONDS)


async def _activate(
    agent_weights: AgentWeights,
    subject: OrderSubject,
    has_turn: Callable[[], bool] = always,
) -> Activated | ActivationFailed:
    outcome = await order_engine(
        agent_weights, OrderAction.ACTIVATE, subject, has_turn
    )
    if not isinstance(outcome, OrderConfirmed):
        return ActivationFailed(detail=f'activate: {outcome.detail}')
    if await wait_for_effect(agent_weights, OrderAction.ACTIVATE, subject):
        return Activated()
    return ActivationFailed(detail='the engine does not confirm it')


async def _restore_former(
    agent_weights: AgentWeights, former: tuple[ServedVersion, ...]
) -> None:
    """Serve the former versions again if they are still active."""
    for served in former:
        held = await _find_active(agent_weights, served)
        if held is None:
            continue
        # An engine that restarted meanwhile may lack some adapters.
        adapters = sorted(set(served.adapters) & set(held.adapters))
        agent_weights.served.confirm(
            msgspec.structs.replace(served, adapters=tuple(adapters))
        )


async def _find_active(
    agent_weights: AgentWeights, served: ServedVersion
) -> EngineVersion | None:
    """Return a version if it is active, and no earlier order can end that.

    An order without an answer may still be followed; the engine refuses it
    once it has followed a later one.
    """
    state = await agent_weights.ports.engine.describe()
    if not isinstance(state, EngineState):
        return None
    held = find_version(state, served.model, served.version)
    if held is None or not (held.complete and held.active):
        return None
    if agent_weights.order_lease.has_unanswered:
        subject = OrderSubject(model=served.model, version=served.version)
        activated = await _activate(agent_weights, subject)
        return held if isinstance(activated, Activated) else None
    return held


async def wait_for_effect(
    agent_weights: AgentWeights, action: OrderAction, subject: OrderSubject
) -> bool:
    """Poll the engine state; return whether the order took effect in time."""
    until = read_clock() + CONFIRM_SECONDS
    while read_clock() < until:
        state = await agent_weights.ports.engine.describe()
        if isinstance(state, EngineState) and shows_effect(
            state, action, subject
        ):
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False


def confirm_version(
    agent_weights: AgentWeights,
    wanted: WantedWeights,
    adapters: frozenset[AdapterName],
) -> None:
    """Admit requests for the version with exactly these adapters."""
    agent_weights.served.confirm(
        ServedVersion(
            model=wanted.model,
            version=wanted.version,
            adapters=tuple(sorted(adapters)),
        )
    )


def is_serving(state: EngineState, wanted: WantedWeights) -> bool:
    """Return whether the engine has activated the wanted version."""
    held = find_version(state, wanted.model, wanted.version)
    return held is not None and held.complete and held.active
