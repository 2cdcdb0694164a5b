"""Tests of :mod:`ragwortcourse.weights.chunk_sources`."""

from collections import Counter

from fakes.fleet_parts import FAR, NEAR, REGIONS, SAME_REGION
from ragwortcourse.identifiers import DaemonId, RegionName
from ragwortcourse.membership.relay import RelayRecord
from ragwortcourse.weights.chunk_sources import (
    list_loader_sources,
    list_relay_sources,
)

CHUNKS = 48


def make_relay(name: str, domain=NEAR) -> RelayRecord:
    """An entry daemon."""
    return RelayRecord(
        daemon=DaemonId(name),
        address=f'{name}:1',
        failure_domain=domain,
        region=REGIONS[domain],
    )


RELAYS = [
    *(make_relay(f'near-{number}') for number in range(3)),
    *(make_relay(f'far-{number}', FAR) for number in range(3)),
    make_relay('other', SAME_REGION),
]


class TestLoaderSources:
    """Whom loaders ask."""

    def test_own_domain_first(self):
        """The own failure domain is asked before another."""
        sources = list_loader_sources(relays=RELAYS, domain=FAR, index=3)
        domains = [source.failure_domain for source in sources]
        assert domains[:2] == [FAR, FAR]
        assert domains[2] != FAR

    def test_evenly(self):
        """Relays of a failure domain share the chunks."""
        counts = Counter(
            list_loader_sources(relays=RELAYS, domain=FAR, index=index)[
                0
            ].daemon
            for index in range(CHUNKS)
        )
        assert min(counts.values()) >= CHUNKS / 3 / 2

    def test_nobody_near(self):
        """Without a relay nearby another failure domain is asked."""
        relays = [relay for relay in RELAYS if relay.failure_domain != FAR]
        assert list_loader_sources(relays=relays, domain=FAR, index=0)

    def test_nobody(self):
        """Without any relay the origin is left."""
        assert not list_loader_sources(relays=[], domain=FAR, index=0)


class TestRelaySources:
    """Whom relays ask."""

    def list_for(self, own: str, index: int) -> tuple[str, ...]:
        """Names of those that are asked."""
        sources = list_relay_sources(
            relays=RELAYS,
            own=DaemonId(own),
            origin_region=RegionName('near'),
            index=index,
        )
        return tuple(source.daemon for source in sources)

    def test_origin_asked_by_one(self):
        """Each chunk is drawn from the origin by one relay alone."""
        for index in range(CHUNKS):
            roots = [
                relay.daemon
                for relay in RELAYS
                if not self.list_for(relay.daemon, index)
            ]
            assert len(roots) == 1

    def test_roots_lie_near_the_origin(self):
        """No chunk crosses the line between regions to come back."""
        for index in range(CHUNKS):
            assert not any(
                name.startswith('far') for name in self.list_for('far-0', index)
            )

    def test_no_circle(self):
        """Nobody waits for one that waits for it."""
        for index in range(CHUNKS):
            asked = {
                relay.daemon: self.list_for(relay.daemon, index)
                for relay in RELAYS
            }
            for own, sources in asked.items():
                assert all(own not in asked[source] for source in sources)

    def test_origin_region_without_relays(self):
        """Where the origin's region has no relay, others take its place."""
        relays = [relay for relay in RELAYS if relay.failure_domain == FAR]
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
