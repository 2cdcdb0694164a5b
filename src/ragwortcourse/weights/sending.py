"""Sending of a chunk in paced pieces, so that live requests go first."""

from collections.abc import AsyncIterator

from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.pace import cut_pieces


async def pace_pieces(
    agent_weights: AgentWeights, content: bytes
) -> AsyncIterator[bytes]:
    """Yield the pieces of a chunk as the rate limit of the link allows."""
    pace = agent_weights.exchange.pace_up
    for piece in cut_pieces(content, pace.link_rate):
        await pace.wait(len(piece))
        yield piece
