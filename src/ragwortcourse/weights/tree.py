"""From whom each chunk is drawn: a tree for each chunk, roots taking turns.

Hosts of a failure domain form a tree with bounded fan-out, whose head takes
the chunk from the head of the failure domain before; the first head takes it
from the origin. Positions turn with the index of the chunk, so that each host
sends about as many bytes as it receives, and no directory is needed.
"""

import dataclasses
import itertools
import math
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, TypeVar

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
)
from ragwortcourse.weights.peer_port import PeerAddress

FANOUT: Final = 2

_Item = TypeVar('_Item')
_Group = tuple[PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkTree:
    """The members of one transfer, by region and failure domain.

    :param regions: the origin's region first.
    """

    regions: tuple[tuple[_Group, ...], ...]

    @property
    def members(self) -> tuple[PeerAddress, ...]:
        """Everyone who takes part."""
        groups = itertools.chain.from_iterable(self.regions)
        return tuple(itertools.chain.from_iterable(groups))

    def list_sources(
        self, own: PeerAddress, index: int
    ) -> tuple[PeerAddress, ...]:
        """Whom to ask for a chunk, nearest first; none for the root."""
        heads: list[PeerAddress] = []
        for group in self._order_groups(index):
            if own in group:
                heads.reverse()
                return (*_list_ancestors(group, own, index), *heads)
            heads.append(_find_head(group, index))
        heads.reverse()
        return tuple(heads)

    def list_children(
        self, own: PeerAddress, index: int
    ) -> frozenset[DaemonId]:
        """Who will ask the own host for a chunk."""
        groups = self._order_groups(index)
        for group, following in zip(groups, (*groups[1:], None), strict=True):
            if own in group:
                children = _list_offspring(group, own, index)
                if following and own == _find_head(group, index):
                    children.add(_find_head(following, index).daemon)
                return frozenset(children)
        return frozenset()

    def _order_groups(self, index: int) -> list[_Group]:
        first, *others = self.regions or ((),)
        widest = max((len(group) for group in first), default=1)
        turn = index // widest
        regions = [first, *_rotate(others, turn)]
        return [group for region in regions for group in _rotate(region, turn)]


def build_tree(
    *, members: tuple[PeerAddress, ...], origin_region: RegionName
) -> ChunkTree:
    """The tree over some members, the same wherever it is built."""
    domains: dict[
        tuple[RegionName, FailureDomainName], dict[DaemonId, PeerAddress]
    ] = defaultdict(dict)
    for member in members:
        key = (member.region, member.failure_domain)
        domains[key][member.daemon] = member
    regions: dict[RegionName, list[_Group]] = defaultdict(list)
    for (region, _), group in sorted(domains.items()):
        ordered = sorted(group.values(), key=lambda peer: peer.daemon)
        regions[region].append(tuple(ordered))
    names = sorted(regions, key=lambda name: (name != origin_region, name))
    return ChunkTree(regions=tuple(tuple(regions[name]) for name in names))


def _rotate(sequence: Sequence[_Item], turn: int) -> list[_Item]:
    if not sequence:
        return []
    start = turn % len(sequence)
    return [
        sequence[(start + place) % len(sequence)]
        for place in range(len(sequence))
    ]


def _choose_step(size: int) -> int:
    """A step that visits every member and spreads the inner positions."""
    step = max(size // FANOUT, 1)
    while math.gcd(step, size) != 1:
        step += 1
    return step


def _find_start(group: _Group, index: int) -> int:
    return index * _choose_step(len(group)) % len(group)


def _find_head(group: _Group, index: int) -> PeerAddress:
    return group[_find_start(group, index)]


def _list_ancestors(
    group: _Group, own: PeerAddress, index: int
) -> list[PeerAddress]:
    start = _find_start(group, index)
    position = (group.index(own) - start) % len(group)
    ancestors = []
    while position > 0:
        position = (position - 1) // FANOUT
        ancestors.append(group[(start + position) % len(group)])
    return ancestors


def _list_offspring(
    group: _Group, own: PeerAddress, index: int
) -> set[DaemonId]:
    start = _find_start(group, index)
    position = (group.index(own) - start) % len(group)
    first = FANOUT * position + 1
    return {
        group[(start + child) % len(group)].daemon
        for child in range(first, min(first + FANOUT, len(group)))
    }
