"""From which loaders a chunk is drawn.

Load pattern: a version is named while no loader holds it, and all of them
draw it at once over narrow links; or an empty engine joins while others
hold the version.
"""

from collections.abc import Sequence
from typing import Final

from ragwortcourse.membership.rendezvous import score_pair
from ragwortcourse.weights.peer_port import PeerAddress
from ragwortcourse.weights.tree import ChunkTree

# Holders that are asked before the origin is.
HOLDERS_ASKED: Final = 3


def list_chunk_sources(
    *,
    own: PeerAddress,
    holders: Sequence[PeerAddress],
    tree: ChunkTree,
    index: int,
) -> tuple[PeerAddress, ...]:
    """Whom to ask, in this order, before the origin.

    Where some hold the version: the nearest of them, each giving about as
    many chunks as the others. Else the tree, in which each chunk is drawn
    from the origin once and passed on.
    """
    if not holders:
        return tree.list_sources(own, index)
    ranked = sorted(
        holders,
        key=lambda peer: (
            peer.region != own.region,
            peer.failure_domain != own.failure_domain,
            score_pair(f'{index}/{own.daemon}', peer.daemon),
        ),
    )
    return tuple(ranked[:HOLDERS_ASKED])


def order_chunks(
    *, own: PeerAddress, tree: ChunkTree, missing: Sequence[int]
) -> tuple[int, ...]:
    """In which order chunks are drawn: those that others wait for first."""
    return tuple(
        sorted(
            missing,
            key=lambda index: (
                len(tree.list_sources(own, index)),
                -len(tree.list_children(own, index)),
                index,
            ),
        )
    )
