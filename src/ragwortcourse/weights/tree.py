"""Distribution trees, one for each chunk, with rotating roots.

Hosts of a failure domain form a tree with bounded fan-out. The head of each
tree downloads the chunk from the head of the preceding failure domain, and
the first head downloads from the origin. Positions rotate with the chunk
index, so that each host sends about as many bytes as it receives. Each host
computes the trees itself, so no directory is needed.
"""

import dataclasses
import functools
import itertools
import math
from collections import defaultdict
from typing import Final

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
)
from ragwortcourse.weights.peer_port import PeerAddress

FANOUT: Final = 2

_Group = tuple[PeerAddress, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChunkTree:
    """Members of one transfer, grouped by failure domain.

    The order of failure domains is the same for all chunks. With a rotating
    order, each host would at times wait for the slowest failure domain and
    delay its own receivers.

    :param groups: members of each failure domain, with the origin's region
        first.
    :param absent: members that do not answer. The other members take their
        positions in rotation, which keeps the load even.
    """

    groups: tuple[_Group, ...]
    absent: frozenset[DaemonId] = frozenset()

    @functools.cached_property
    def members(self) -> tuple[PeerAddress, ...]:
        """All members, including absent ones."""
        return tuple(itertools.chain.from_iterable(self.groups))

    def find_domain(self, daemon: DaemonId) -> FailureDomainName | None:
        """Return the failure domain of a member; None for other hosts."""
        return self._domains.get(daemon)

    def find_member(self, daemon: DaemonId) -> PeerAddress | None:
        """Return a member; None for other hosts."""
        position = self._positions.get(daemon)
        return None if position is None else self.members[position]

    def count_domain(self, name: FailureDomainName) -> int:
        """Return the number of members of a failure domain."""
        return sum(domain == name for domain in self._domains.values())

    def list_sources(
        self, own: PeerAddress, index: int
    ) -> tuple[PeerAddress, ...]:
        """List the sources of a chunk, nearest first; empty for the root."""
        heads: list[PeerAddress] = []
        for group, present in self._present:
            if own in group:
                heads.reverse()
                start = _find_start(group, present, index)
                return (*_list_ancestors(present, own, start), *heads)
            heads.append(present[_find_start(group, present, index)])
        heads.reverse()
        return tuple(heads)

    def list_children(
        self, own: PeerAddress, index: int
    ) -> frozenset[DaemonId]:
        """List the members that download a chunk from the own host."""
        followings = (*self._present[1:], None)
        for place, following in zip(self._present, followings, strict=True):
            group, present = place
            if own not in group:
                continue
            start = _find_start(group, present, index)
            children = _list_offspring(present, own, start)
            if following and own == present[start]:
                head = _find_start(*following, index)
                children.add(following[1][head].daemon)
            return frozenset(children)
        return frozenset()

    def find_spare(self, own: PeerAddress, index: int) -> PeerAddress | None:
        """Return a host that sends a leaf what its source refuses to send.

        Spares are in the last failure domain, which sends nothing to other
        failure domains and therefore has free link capacity. A spare is
        always in the leaf's region, so that no link between regions is used.

        :return: None for members of the last failure domain, for members that
            are no leaf, and without a spare in the region.
        """
        group, last = self._present[-1]
        if own in group or self.list_children(own, index):
            return None
        spare = last[(index + self._positions[own.daemon]) % len(last)]
        return spare if spare.region == own.region else None

    def count_copies(self, own: PeerAddress) -> float:
        """Return the copies that a host sends in whole rotations."""
        for group, present in self._present:
            if own in present:
                is_last = group is self._present[-1][0]
                return (len(present) - is_last) / len(present)
        return 0

    @functools.cached_property
    def _positions(self) -> dict[DaemonId, int]:
        return {each.daemon: at for at, each in enumerate(self.members)}

    @functools.cached_property
    def _present(self) -> tuple[tuple[_Group, _Group], ...]:
        """Failure domains with any members that answer, and these members."""
        places = (
            (group, tuple(each for each in group if self._answers(each)))
            for group in self.groups
        )
        return tuple(place for place in places if place[1])

    def _answers(self, member: PeerAddress) -> bool:
        return member.daemon not in self.absent

    @functools.cached_property
    def _domains(self) -> dict[DaemonId, FailureDomainName]:
        return {each.daemon: each.failure_domain for each in self.members}


def build_tree(
    *, members: tuple[PeerAddress, ...], origin_region: RegionName
) -> ChunkTree:
    """Build a tree that depends only on the set of members."""
    domains: dict[
        tuple[RegionName, FailureDomainName], dict[DaemonId, PeerAddress]
    ] = defaultdict(dict)
    for member in members:
        key = (member.region, member.failure_domain)
        domains[key][member.daemon] = member
    keys = sorted(domains, key=lambda key: (key[0] != origin_region, *key))
    return ChunkTree(
        groups=tuple(
            tuple(sorted(domains[key].values(), key=lambda peer: peer.daemon))
            for key in keys
        )
    )


def _choose_step(size: int) -> int:
    """Choose a step that visits all members and spreads inner positions."""
    step = max(size // FANOUT, 1)
    while math.gcd(step, size) != 1:
        step += 1
    return step


def _find_start(group: _Group, present: _Group, index: int) -> int:
    """Return the position of the head among members that answer."""
    head = group[index * _choose_step(len(group)) % len(group)]
    if len(present) == len(group) or head in present:
        return present.index(head)
    return index // len(group) % len(present)


def _list_ancestors(
    group: _Group, own: PeerAddress, start: int
) -> list[PeerAddress]:
    position = (group.index(own) - start) % len(group)
    ancestors = []
    while position > 0:
        position = (position - 1) // FANOUT
        ancestors.append(group[(start + position) % len(group)])
    return ancestors


def _list_offspring(
    group: _Group, own: PeerAddress, start: int
) -> set[DaemonId]:
    position = (group.index(own) - start) % len(group)
    first = FANOUT * position + 1
    return {
        group[(start + child) % len(group)].daemon
        for child in range(first, min(first + FANOUT, len(group)))
    }
