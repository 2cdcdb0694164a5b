"""Newer generations, learnt from whoever speaks to the agent."""

from ragwortcourse.agent.agent import Agent
from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.identifiers import Generation


def learn(agent: Agent, sender: str, generation: Generation) -> None:
    """Fetch a newer generation from its sender, beside other work."""
    if generation > agent.holder.generation and sender:
        agent.spawn(fetch_document(agent, sender, generation))


async def fetch_document(
    agent: Agent, sender: str, generation: Generation
) -> None:
    """Put a generation in force, if its sender hands it over."""
    if agent.daemon_port is None:
        return
    document = await agent.daemon_port.fetch(sender, generation)
    if isinstance(document, ConfigurationDocument):
        agent.holder.take(document)
