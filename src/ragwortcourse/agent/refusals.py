"""Builds refusals of attempts and their HTTP statuses."""

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
    """Build a refusal with the gate's spare permits and the generation.

    A refusal for a version that is not served lists the versions served.
    """
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
    """Build the refusal of an attempt that was already received.

    :param state: recorded state of the attempt; none while it waits.
    """
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
    """Build the outcome of an attempt that was barred before it started."""
    return NotRun(code='barred', detail='the attempt was barred')
