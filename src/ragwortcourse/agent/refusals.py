"""Refusals of attempts, each with the status that fits."""

from ragwortcourse.agent.agent import Agent
from ragwortcourse.messages.attempt import AttemptRefused
from ragwortcourse.messages.attempt_report import AttemptState
from ragwortcourse.messages.outcome import NotRun, Unknown

SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
CONFLICT = 409
VERSION_NOT_SERVED = 'version_not_served'


def refuse(
    agent: Agent,
    outcome: NotRun | Unknown,
    status: int = SERVICE_UNAVAILABLE,
    *,
    suspect: bool = False,
) -> AttemptRefused:
    """A refusal that carries the state of the gate."""
    is_unserved = outcome.code == VERSION_NOT_SERVED
    return AttemptRefused(
        status=status,
        outcome=outcome,
        spare=agent.gate.spare,
        generation=agent.holder.generation,
        suspect=suspect,
        served=agent.served.versions if is_unserved else None,
    )


def refuse_duplicate(
    agent: Agent, state: AttemptState | None
) -> AttemptRefused:
    """A refusal of an attempt seen before."""
    if state is AttemptState.BARRED:
        return refuse(agent, describe_barred(), CONFLICT)
    return refuse(
        agent,
        Unknown(
            code='duplicate_attempt',
            detail='this attempt was received before; ask for its report',
        ),
        CONFLICT,
    )


def describe_barred() -> NotRun:
    """Outcome of an attempt that was barred before it started."""
    return NotRun(code='barred', detail='the attempt was barred')
