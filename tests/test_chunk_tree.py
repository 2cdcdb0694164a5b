"""Tests of :mod:`ragwortcourse.weights.tree`."""

import dataclasses
from collections import Counter

import pytest

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
)
from ragwortcourse.weights.peer_port import PeerAddress
from ragwortcourse.weights.tree import ChunkTree, build_tree

# Whole rotations in failure domains of 2 to 6 members, with and without absent
# members.
CHUNKS = 3600


def make_tree(sizes: tuple[int, ...]) -> ChunkTree:
    """Build a tree over failure domains of the given sizes in one region."""
    members = tuple(
        PeerAddress(
            daemon=DaemonId(f'{domain}-{number}'),
            address='',
            failure_domain=FailureDomainName(f'd{domain}'),
            region=RegionName('r'),
        )
        for domain, size in enumerate(sizes)
        for number in range(size)
    )
    return build_tree(members=members, origin_region=RegionName('r'))


class TestAbsent:
    """Trees with absent members."""

    @pytest.mark.parametrize('sizes', [(2, 2, 2), (3, 4, 3), (6, 5, 6)])
    @pytest.mark.parametrize('absent', [(), ('0-0',), ('0-1', '1-0')])
    def test_those_left_send_evenly(self, sizes, absent):
        """Each host sends as many chunks as it receives despite absences."""
        tree = dataclasses.replace(
            make_tree(sizes), absent=frozenset(map(DaemonId, absent))
        )
        here = [each for each in tree.members if each.daemon not in absent]
        sends = Counter(
            tree.list_sources(own, index)[0].daemon
            for own in here
            for index in range(CHUNKS)
            if tree.list_sources(own, index)
        )
        first = [sends[each.daemon] for each in here if each in tree.groups[0]]
        assert set(first) == {CHUNKS}

    def test_absent_members_are_nobodys_source(self):
        """No chunk is requested from an absent member."""
        absent = frozenset({DaemonId('0-1'), DaemonId('1-0')})
        tree = dataclasses.replace(make_tree((3, 3, 3)), absent=absent)
        sources = {
            source.daemon
            for own in tree.members
            if own.daemon not in absent
            for index in range(CHUNKS)
            for source in tree.list_sources(own, index)
        }
        assert not sources & absent

    def test_empty_failure_domain_is_passed(self):
        """A failure domain without present members is skipped as a source."""
        absent = frozenset({DaemonId('1-0'), DaemonId('1-1')})
        tree = dataclasses.replace(make_tree((2, 2, 2)), absent=absent)
        heads = [tree.list_sources(own, 0)[-1].daemon for own in tree.groups[2]]
        assert heads == ['0-0', '0-0']
