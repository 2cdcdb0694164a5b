"""Choice of the sources from which a chunk is downloaded.

Load pattern: a new version is deployed while no host holds it. Every engine
must have the version within seconds, over links sized for its live requests.
Entry daemons (relays) have wide links: they download each chunk from the
origin once, send it over each link between regions once, and serve it to the
loaders of their failure domain. A version that an engine holds already is
downloaded from the engine's host, once per failure domain.

Relays are stopped in turn meanwhile, and each takes its chunks with it. A
loader then waits for each of these chunks while the next relay downloads it,
with its link idle, unless that relay downloads the following ones ahead.
"""

import math
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Final

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
)
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.membership.rendezvous import score_pair
from ragwortcourse.weights.planning.origin_link import LEAD_FACTOR

# Relays of its failure domain that a loader asks before other relays.
RELAYS_IN_DOMAIN: Final = 2
# Relays of other failure domains that a loader asks before the origin.
RELAYS_ELSEWHERE: Final = 1
# Relays (roots) that download a chunk from the origin for all other relays;
# the second root is asked if the first one fails.
ROOTS_PER_CHUNK: Final = 2
# Rank of relays as roots, beside the ranks for the single chunks.
ROOTS_KEY: Final = 'roots'
# Bytes a second that the relays of one failure domain download together from
# another region: half of the narrowest link between regions, which carries
# live requests too, and more than a loader's link takes.
DOMAIN_RATE: Final = 800_000
# Chunks that a failure domain downloads over such a link at the same time.
# Each takes four times as long as it would alone, and the first chunks are
# available to loaders before the download of the last ones starts.
CONCURRENT_CHUNKS_PER_DOMAIN: Final = 4


def list_loader_sources(
    *, relays: Iterable[RelayRecord], domain: FailureDomainName, index: int
) -> tuple[RelayRecord, ...]:
    """List the relays that a loader asks for a chunk, in order."""
    ranked = _rank(relays, index)
    near = [relay for relay in ranked if relay.failure_domain == domain]
    far = [relay for relay in ranked if relay.failure_domain != domain]
    return (*near[:RELAYS_IN_DOMAIN], *far[:RELAYS_ELSEWHERE])


def list_replaced(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    gone: Collection[str],
    chunks: Iterable[int],
) -> tuple[int, ...]:
    """List the chunks that a relay sends instead of relays that are gone.

    :param own: the relay that is asked instead.
    :param gone: addresses in the loader's failure domain that do not accept
        connections.
    :param chunks: indices of the chunks that loaders may still need.
    """
    known = tuple(relays)
    domains = {relay.failure_domain for relay in known if relay.address in gone}
    near = [relay for relay in known if relay.failure_domain in domains]
    left = [relay for relay in near if relay.address not in gone]
    owns = [relay for relay in left if relay.daemon == own]
    return tuple(
        index
        for index in chunks
        for domain in domains
        if _find_first(near, domain, index) not in left
        and _find_first(left, domain, index) in owns
    )


def list_relay_sources(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    origin_region: RegionName,
    index: int,
    most_roots: int = 0,
) -> tuple[RelayRecord, ...]:
    """List the relays that a relay asks for a chunk, in order.

    A relay asks only relays of higher rank, so that relays never wait for
    each other in a cycle.

    :param own: the relay that asks.
    :param most_roots: relays that download from the origin, for all chunks
        together; zero for no limit.
    :return: empty if the relay downloads the chunk from the origin.
    """
    higher_ranked: list[RelayRecord] = []
    for root in list_roots(
        relays, origin_region=origin_region, index=index, most_roots=most_roots
    ):
        if root.daemon == own:
            break
        higher_ranked.append(root)
    return tuple(higher_ranked)


def list_roots(
    relays: Iterable[RelayRecord],
    *,
    origin_region: RegionName,
    index: int,
    most_roots: int = 0,
) -> tuple[RelayRecord, ...]:
    """List the relays that download a chunk from the origin for all others.

    :param most_roots: number of such relays for all chunks; zero: no limit.
    """
    known = tuple(relays)
    near = [relay for relay in known if relay.region == origin_region]
    roots: Sequence[RelayRecord] = near or known
    if most_roots:
        roots = _rank(roots, ROOTS_KEY)[: max(most_roots, ROOTS_PER_CHUNK)]
    return tuple(_rank(roots, index)[:ROOTS_PER_CHUNK])


def choose_rate(
    *,
    source: RegionName,
    own: RegionName,
    near: int,
    at_once: int,
    domain_rate: int = DOMAIN_RATE,
) -> int:
    """Choose the rate at which a relay is sent a chunk.

    :param source: region of the sender.
    :param own: region of the relay.
    :param near: live relays of the relay's failure domain, which share
        ``domain_rate``.
    :param at_once: chunks that each of these relays downloads concurrently.
    :param domain_rate: bytes a second that they download together.
    :return: bytes a second; zero: no limit.
    """
    if source == own:
        return 0
    return domain_rate // min(
        max(near, 1) * at_once, CONCURRENT_CHUNKS_PER_DOMAIN
    )


def choose_start(
    *,
    origin: RegionName,
    own: RegionName,
    index: int,
    chunk_bytes: int,
    origin_rate: float = 0,
) -> float:
    """Choose when a relay starts to prefetch a chunk.

    The chunks start one after the other at the rate of the origin's link,
    whichever relay downloads them, so that the first ones are complete before
    the last ones start. Across regions they keep to ``DOMAIN_RATE``.

    :param origin: region of the origin.
    :param own: region of the relay.
    :param origin_rate: bytes a second of the origin's link; zero if unknown.
    :return: seconds after the arrival of the manifest.
    """
    rate = origin_rate * LEAD_FACTOR or math.inf
    if origin != own:
        rate = min(rate, DOMAIN_RATE)
    return index * chunk_bytes / rate


def order_prefetch(
    indices: Iterable[int], is_root: Callable[[int], bool]
) -> tuple[int, ...]:
    """Return chunk indices in the order in which a relay prefetches them.

    Chunks that the relay downloads from the origin come first, because all
    other relays wait for them and the origin may fail.

    :param is_root: tells whether the relay downloads a chunk from the origin.
    """
    return tuple(sorted(indices, key=lambda index: (not is_root(index), index)))


def _rank(
    relays: Iterable[RelayRecord], subject: int | str
) -> Sequence[RelayRecord]:
    return sorted(
        relays, key=lambda relay: score_pair(str(subject), relay.daemon)
    )


def _find_first(
    relays: Sequence[RelayRecord], domain: FailureDomainName, index: int
) -> RelayRecord | None:
    """Find the relay that loaders of a failure domain ask first."""
    sources = list_loader_sources(relays=relays, domain=domain, index=index)
    return sources[0] if sources else None
