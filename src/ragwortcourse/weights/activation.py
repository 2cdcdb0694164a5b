"""From weights in the engine to a version that answers."""

import asyncio
import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    EngineState,
    EngineVersion,
    OrderAction,
    OrderConfirmed,
)
from ragwortcourse.identifiers import AdapterName
from ragwortcourse.messages.target_status import ServedVersion
from ragwortcourse.weights.landing import Landing
from ragwortcourse.weights.orders import (
    OrderSubject,
    find_version,
    order_engine,
    shows_effect,
)
from ragwortcourse.weights.turn import Turn
from ragwortcourse.weights.wanted import WantedWeights

# An engine reports with a lag; it is asked for so long after an order.
CONFIRM_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Activated:
    """The engine says that it answers with the version."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ActivationFailed:
    """The version is not served."""

    detail: str


ActivationOutcome = Activated | ActivationFailed


async def load_version(
    landing: Landing, subject: OrderSubject
) -> ActivationOutcome:
    """Have the engine load what it was given, beside what it serves."""
    outcome = await order_engine(landing, OrderAction.LOAD, subject)
    if isinstance(outcome, OrderConfirmed):
        return Activated()
    return ActivationFailed(detail=f'load {subject}: {outcome.detail}')


async def activate_version(
    landing: Landing, wanted: WantedWeights
) -> ActivationOutcome:
    """Let the target answer with a loaded version, in the target's turn."""
    subject = OrderSubject(model=wanted.model, version=wanted.version)
    turn = Turn(
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
        return await _change_version(landing, wanted, subject, turn)
    finally:
        await turn.release()


async def _change_version(
    landing: Landing, wanted: WantedWeights, subject: OrderSubject, turn: Turn
) -> ActivationOutcome:
    if landing.served.versions and not turn.is_held():
        return ActivationFailed(detail='the turn lapsed')
    outcome = await order_engine(landing, OrderAction.ACTIVATE, subject)
    if not isinstance(outcome, OrderConfirmed):
        return ActivationFailed(detail=f'activate: {outcome.detail}')
    if not await wait_for_effect(landing, OrderAction.ACTIVATE, subject):
        return ActivationFailed(detail='the engine does not confirm it')
    confirm_version(landing, wanted, frozenset())
    retire_others(landing, wanted)
    return Activated()


async def wait_for_effect(
    landing: Landing, action: OrderAction, subject: OrderSubject
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
    landing: Landing,
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


def retire_others(landing: Landing, wanted: WantedWeights | None) -> None:
    """Let the gate begin nothing new on any other version."""
    for served in landing.served.versions:
        kept = wanted is not None and (
            (served.model, served.version) == (wanted.model, wanted.version)
        )
        if not kept:
            landing.served.remove(served.model, served.version)


async def unload_others(landing: Landing, wanted: WantedWeights | None) -> None:
    """Unload versions that nothing runs on and that are not wanted."""
    state = await landing.ports.engine.describe()
    if not isinstance(state, EngineState):
        return
    for held in state.versions:
        if _is_removable(landing, wanted, held):
            subject = OrderSubject(model=held.model, version=held.version)
            await order_engine(landing, OrderAction.UNLOAD, subject)


def _is_removable(
    landing: Landing, wanted: WantedWeights | None, held: EngineVersion
) -> bool:
    if wanted is not None and _is_wanted(wanted, held):
        return False
    if landing.served.allows(held.model, held.version, None):
        return False
    return not landing.ports.count_running(held.model, held.version, None)


def _is_wanted(wanted: WantedWeights, held: EngineVersion) -> bool:
    named = (held.model, held.version)
    return named == (wanted.model, wanted.version)


def is_serving(state: EngineState, wanted: WantedWeights) -> bool:
    """Tell whether the engine answers with the wanted version."""
    held = find_version(state, wanted.model, wanted.version)
    return held is not None and held.complete and held.active
