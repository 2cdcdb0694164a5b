"""Choice of the chunks that a host declines to send.

Load pattern: all hosts download a version at the same time. The manifest takes
part of each link's budget, so a host may send a few chunks less than its place
in the trees asks of it. If each host sent until its budget is used up, all
would refuse their last chunks, and all receivers would then ask the origin at
once, with every other link idle. So a host declines these sends beforehand, at
even intervals over the whole version and to leaves only, for which no other
host waits.
"""

import math

from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.peer_port import MANIFEST_INDEX, ChunkRequest
from ragwortcourse.weights.transfer import Transfer


def decline(
    agent_weights: AgentWeights, transfer: Transfer, request: ChunkRequest
) -> bool:
    """Tell whether to decline a request, and count it if so."""
    manifest = transfer.manifest
    is_open = transfer.ended_at is None and request.index != MANIFEST_INDEX
    if manifest is None or not (request.leaf and is_open):
        return False
    copies = transfer.view.count_copies(agent_weights.own)
    lacking = transfer.counts.count_lacking(manifest.size, copies)
    chunk = max(manifest.chunk_size, 1)
    is_due = is_decline_due(
        # One more is kept for a chunk that arrives damaged.
        lacking=lacking / chunk + 1,
        chunks=len(manifest.chunks),
        index=request.index,
        declined=transfer.counts.declined,
    )
    transfer.counts.declined += is_due
    return is_due


def is_decline_due(
    *, lacking: float, chunks: int, index: int, declined: int
) -> bool:
    """Tell whether to decline a chunk to a leaf.

    :param lacking: chunks that the budget lacks for the whole version.
    :param chunks: chunks of the version.
    :param declined: chunks declined so far.
    """
    return declined < round(math.ceil(lacking) * (index + 1) / chunks)
