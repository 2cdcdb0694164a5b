"""A chunk on its way to a peer, cut so that live requests go first."""

from collections.abc import AsyncIterator

from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.pace import cut_pieces


async def pace_pieces(
    landing: AgentWeights, content: bytes
) -> AsyncIterator[bytes]:
    """Pieces of a chunk, each when the host's link may carry it."""
    pace = landing.exchange.pace_up
    for piece in cut_pieces(content, pace.link_rate):
        await pace.wait(len(piece))
        yield piece
