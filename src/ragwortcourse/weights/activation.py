"""From weights in the engine to a version that answers."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    EngineState,
    OrderAction,
    OrderConfirmed,
)
from ragwortcourse.identifiers import AdapterName
from ragwortcourse.messages.target_status import ServedVersion
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.manifest import Manifest
from ragwortcourse.weights.orders import (
    OrderSubject,
    find_version,
    order_engine,
    shows_effect,
)
from ragwortcourse.weights.retirement import retire_others
from ragwortcourse.weights.rollout_lease import RolloutLease
from ragwortcourse.weights.wanted import WantedWeights

# An engine reports with a lag; it is asked for so long after an order.
CONFIRM_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.25
# Work on the former version is waited for so long before the change.
FINISH_SECONDS: Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Activated:
    """The engine says that it answers with the version."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ActivationFailed:
    """The version is not served."""

    detail: str


ActivationOutcome = Activated | ActivationFailed


async def load_version(
    landing: AgentWeights, subject: OrderSubject, manifest: Manifest
) -> ActivationOutcome:
    """Have the engine load what it was given, beside what it serves."""
    subject = dataclasses.replace(subject, manifest=manifest)
    outcome = await order_engine(landing, OrderAction.LOAD, subject)
    if isinstance(outcome, OrderConfirmed):
        return Activated()
    return ActivationFailed(detail=f'load: {outcome.detail}')


async def activate_version(
    landing: AgentWeights, wanted: WantedWeights
) -> ActivationOutcome:
    """Let the target answer with a loaded version, in the target's turn."""
    subject = OrderSubject(model=wanted.model, version=wanted.version)

    async def change() -> ActivationOutcome:
        outcome = await _activate(landing, subject)
        if isinstance(outcome, Activated):
            confirm_version(landing, wanted, frozenset())
        return outcome

    return await change_under_rollout_lease(landing, wanted, wanted, change)


async def change_under_rollout_lease(
    landing: AgentWeights,
    wanted: WantedWeights,
    kept: WantedWeights | None,
    change: Callable[[], Awaitable[ActivationOutcome]],
) -> ActivationOutcome:
    """Change the engine while nothing runs on it, in the target's turn.

    :param kept: version that the gate goes on with afterwards; none: the
        one that it had before, as it does after a change that failed.
    """
    turn = RolloutLease(
        table=landing.ports.table,
        target=landing.agent.target,
        deployment=wanted.deployment,
        batch=wanted.batch,
        rng=landing.rng,
    )
    if landing.served.versions:
        landing.state.detail = 'waits for its turn in the roll-out'
        await turn.acquire()
    try:
        return await _change_at_rest(landing, kept, turn, change)
    finally:
        await turn.release()


async def _change_at_rest(
    landing: AgentWeights,
    kept: WantedWeights | None,
    turn: RolloutLease,
    change: Callable[[], Awaitable[ActivationOutcome]],
) -> ActivationOutcome:
    former = landing.served.versions
    await _finish_running(landing, kept)
    outcome: ActivationOutcome
    if former and not turn.is_held():
        outcome = ActivationFailed(detail='the turn lapsed')
    else:
        outcome = await change()
    if kept is None or isinstance(outcome, ActivationFailed):
        await _serve_again(landing, former)
    return outcome


async def _finish_running(
    landing: AgentWeights, kept: WantedWeights | None
) -> None:
    """Begin nothing new on the former version and let it finish.

    An engine may answer only with the version activated last, so work that
    is to run on the former one must have begun and ended before.
    """
    former = landing.served.versions
    retire_others(landing, kept)
    until = read_clock() + FINISH_SECONDS
    while read_clock() < until:
        count = landing.ports.count_running
        if not any(count(each.model, each.version, None) for each in former):
            return
        await asyncio.sleep(POLL_SECONDS)


async def _activate(
    landing: AgentWeights, subject: OrderSubject
) -> Activated | ActivationFailed:
    outcome = await order_engine(landing, OrderAction.ACTIVATE, subject)
    if not isinstance(outcome, OrderConfirmed):
        return ActivationFailed(detail=f'activate: {outcome.detail}')
    if await wait_for_effect(landing, OrderAction.ACTIVATE, subject):
        return Activated()
    return ActivationFailed(detail='the engine does not confirm it')


async def _serve_again(
    landing: AgentWeights, former: tuple[ServedVersion, ...]
) -> None:
    """Go on with the former version, if the engine still answers with it."""
    state = await landing.ports.engine.describe()
    if not isinstance(state, EngineState):
        return
    for served in former:
        held = find_version(state, served.model, served.version)
        if held is not None and held.complete and held.active:
            landing.served.confirm(served)


async def wait_for_effect(
    landing: AgentWeights, action: OrderAction, subject: OrderSubject
) -> bool:
    """Tell whether the engine itself shows that an order took effect."""
    until = read_clock() + CONFIRM_SECONDS
    while read_clock() < until:
        state = await landing.ports.engine.describe()
        if isinstance(state, EngineState) and shows_effect(
            state, action, subject
        ):
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False


def confirm_version(
    landing: AgentWeights,
    wanted: WantedWeights,
    adapters: frozenset[AdapterName],
) -> None:
    """Let the gate answer with the version and just these adapters."""
    landing.served.confirm(
        ServedVersion(
            model=wanted.model,
            version=wanted.version,
            adapters=tuple(sorted(adapters)),
        )
    )


def is_serving(state: EngineState, wanted: WantedWeights) -> bool:
    """Tell whether the engine answers with the wanted version."""
    held = find_version(state, wanted.model, wanted.version)
    return held is not None and held.complete and held.active
