"""Observation of targets through the answers to requests."""

from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.feed import fetch_from_peer
from ragwortcourse.membership.membership import Membership
from ragwortcourse.messages.attempt import (
    LEAVING,
    Attempt,
    AttemptAnswer,
    AttemptOutcome,
    AttemptRefused,
)
from ragwortcourse.messages.peer_port import AgentPort


def build_observed_agents(membership: Membership) -> AgentPort:
    """Wrap the agents' port so that answers update target records.

    An answer to a request shows as directly as an answer to a heartbeat that
    the target is alive, so the answer replaces the heartbeat. A newer
    generation in the answer is fetched at once.
    """
    port = membership.agent_port

    async def start(address: str, attempt: Attempt) -> AttemptOutcome:
        outcome = await port.start(address, attempt)
        if isinstance(outcome, AttemptAnswer | AttemptRefused):
            note_response(membership, address, outcome)
        return outcome

    return AgentPort(start=start, bar=port.bar, heartbeat=port.heartbeat)


def is_leaving(outcome: AttemptAnswer | AttemptRefused) -> bool:
    """Tell whether a target refused a request because of a planned stop."""
    return (
        isinstance(outcome, AttemptRefused) and outcome.outcome.code == LEAVING
    )


def note_response(
    membership: Membership,
    address: str,
    outcome: AttemptAnswer | AttemptRefused,
) -> None:
    """Update the record of a target and fetch a newer generation."""
    for record in membership.directory.records:
        if record.address == address:
            record.last_heard_at = read_clock()
            record.spare = outcome.spare
            record.leaving = record.leaving or is_leaving(outcome)
    if outcome.generation <= membership.holder.generation:
        return
    membership.background.spawn(
        fetch_from_peer(
            holder=membership.holder,
            port=membership.daemon_port,
            sender=address,
            generation=outcome.generation,
        )
    )
