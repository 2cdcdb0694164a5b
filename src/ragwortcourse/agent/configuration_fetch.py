"""Fetches newer configuration generations from peers that have them."""

from ragwortcourse.agent.agent import Agent
from ragwortcourse.configuration.feed import fetch_from_peer
from ragwortcourse.identifiers import Generation


def schedule_configuration_fetch(
    agent: Agent, sender: str, generation: Generation
) -> None:
    """Start a background fetch if the sender has a newer generation."""
    if generation > agent.holder.generation and sender:
        agent.spawn(fetch_document(agent, sender, generation))


async def fetch_document(
    agent: Agent, sender: str, generation: Generation
) -> None:
    """Fetch a generation from its sender and apply the document."""
    if agent.daemon_port is not None:
        await fetch_from_peer(
            holder=agent.holder,
            port=agent.daemon_port,
            sender=sender,
            generation=generation,
        )
