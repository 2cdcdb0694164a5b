"""Tests of :mod:`ragwortcourse.weights.chunk_sources`."""

from collections import Counter

import pytest

from fakes.fleet_parts import FAR_DOMAIN, NEAR_DOMAIN, REGIONS, SAME_REGION
from ragwortcourse.identifiers import DaemonId, RegionName
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.weights.chunk_sources import (
    DOMAIN_RATE,
    choose_rate,
    choose_start,
    list_loader_sources,
    list_relay_sources,
    order_prefetch,
)

CHUNKS = 48


def make_relay(name: str, domain=NEAR_DOMAIN) -> RelayRecord:
    """Build the record of an entry daemon."""
    return RelayRecord(
        daemon=DaemonId(name),
        address=f'{name}:1',
        failure_domain=domain,
        region=REGIONS[domain],
    )


RELAYS = [
    *(make_relay(f'near-{number}') for number in range(3)),
    *(make_relay(f'far-{number}', FAR_DOMAIN) for number in range(3)),
    make_relay('other', SAME_REGION),
]


class TestLoaderSources:
    """Relays that loaders ask."""

    def test_own_domain_first(self):
        """Relays of the loader's failure domain are asked first."""
        sources = list_loader_sources(relays=RELAYS, domain=FAR_DOMAIN, index=3)
        domains = [source.failure_domain for source in sources]
        assert domains[:2] == [FAR_DOMAIN, FAR_DOMAIN]
        assert domains[2] != FAR_DOMAIN

    def test_evenly(self):
        """Chunks are spread over the relays of a failure domain."""
        counts = Counter(
            list_loader_sources(relays=RELAYS, domain=FAR_DOMAIN, index=index)[
                0
            ].daemon
            for index in range(CHUNKS)
        )
        assert min(counts.values()) >= CHUNKS / 3 / 2

    def test_nobody_near(self):
        """Without a relay in the failure domain, another domain is asked."""
        relays = [
            relay for relay in RELAYS if relay.failure_domain != FAR_DOMAIN
        ]
        assert list_loader_sources(relays=relays, domain=FAR_DOMAIN, index=0)

    def test_nobody(self):
        """Without any relay there are no sources except the origin."""
        assert not list_loader_sources(relays=[], domain=FAR_DOMAIN, index=0)


class TestRelaySources:
    """Relays that relays ask."""

    def list_for(self, own: str, index: int) -> tuple[str, ...]:
        """Return the names of the relays that a relay asks."""
        sources = list_relay_sources(
            relays=RELAYS,
            own=DaemonId(own),
            origin_region=RegionName('near'),
            index=index,
        )
        return tuple(source.daemon for source in sources)

    def test_origin_asked_by_one(self):
        """Exactly one relay downloads each chunk from the origin."""
        for index in range(CHUNKS):
            roots = [
                relay.daemon
                for relay in RELAYS
                if not self.list_for(relay.daemon, index)
            ]
            assert len(roots) == 1

    def test_roots_lie_near_the_origin(self):
        """Relays ask relays in the origin's region only.

        Otherwise a chunk could cross the link between regions and come back.
        """
        for index in range(CHUNKS):
            assert not any(
                name.startswith('far') for name in self.list_for('far-0', index)
            )

    def test_no_circle(self):
        """No two relays wait for each other."""
        for index in range(CHUNKS):
            asked = {
                relay.daemon: self.list_for(relay.daemon, index)
                for relay in RELAYS
            }
            for own, sources in asked.items():
                assert all(own not in asked[source] for source in sources)

    def test_origin_region_without_relays(self):
        """Without relays in the origin's region, another relay is the root."""
        relays = [
            relay for relay in RELAYS if relay.failure_domain == FAR_DOMAIN
        ]
        roots = [
            relay
            for relay in relays
            if not list_relay_sources(
                relays=relays,
                own=relay.daemon,
                origin_region=RegionName('near'),
                index=1,
            )
        ]
        assert len(roots) == 1


class TestChooseRate:
    """Rates at which relays send chunks to each other."""

    def test_within_a_region(self):
        """The rate within a region is not limited.

        Seen in the run kalliga scale-1: relays in the origin's region paced
        chunks to each other and had 33 of 48 when the origin failed after
        2.5 s.
        """
        near = RegionName('near')
        assert choose_rate(source=near, own=near, near=2, at_once=2) == 0

    def test_across_regions(self):
        """The relays of a failure domain share the link between regions."""
        rate = choose_rate(
            source=RegionName('far'), own=RegionName('near'), near=2, at_once=2
        )
        assert rate * 2 * 2 == DOMAIN_RATE

    def test_many_relays(self):
        """A chunk takes no longer when more relays share the link."""
        rates = {
            choose_rate(
                source=RegionName('far'),
                own=RegionName('near'),
                near=near,
                at_once=2,
            )
            for near in (2, 11, 44)
        }
        assert len(rates) == 1


class TestChooseStart:
    """Times at which relays start to prefetch."""

    def test_within_a_region(self):
        """Prefetches within a region start at once."""
        near = RegionName('near')
        start = choose_start(origin=near, own=near, index=40, chunk_bytes=9)
        assert start == 0

    def test_across_regions(self):
        """Prefetches start one after the other, at ``DOMAIN_RATE``."""
        starts = [
            choose_start(
                origin=RegionName('far'),
                own=RegionName('near'),
                index=index,
                chunk_bytes=DOMAIN_RATE // 10,
            )
            for index in range(3)
        ]
        assert starts == pytest.approx([0, 0.1, 0.2])


class TestOrderAhead:
    """Order in which a relay prefetches chunks."""

    def test_from_the_origin_first(self):
        """Chunks from the origin come before chunks from other relays."""
        assert order_prefetch(range(6), lambda index: index % 2 == 1) == (
            1,
            3,
            5,
            0,
            2,
            4,
        )
