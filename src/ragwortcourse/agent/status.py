"""Answers heartbeats with the status of the target."""

from ragwortcourse.agent.agent import Agent
from ragwortcourse.agent.configuration_fetch import schedule_configuration_fetch
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.target_status import TargetStatus


async def answer_heartbeat(agent: Agent, heartbeat: Heartbeat) -> TargetStatus:
    """Apply the heartbeat's withdrawals and return the target's status.

    A newer generation at the sender is fetched in the background.
    """
    for withdrawal in heartbeat.withdrawals:
        agent.holder.withdraw(withdrawal)
    schedule_configuration_fetch(agent, heartbeat.sender, heartbeat.generation)
    return TargetStatus(
        target=agent.agent_settings.target,
        deployment=agent.agent_settings.deployment,
        failure_domain=agent.settings.failure_domain,
        limit=agent.limit.read(),
        running=agent.gate.running,
        queued=agent.gate.queued,
        leaving=agent.leaving,
        served=agent.served.versions,
        generation=agent.holder.generation,
        withdrawals=agent.holder.withdrawals,
        suspects=agent.suspects.fingerprints,
        landing=agent.read_transfer_progress(),
    )
