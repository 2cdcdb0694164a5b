"""From whom a chunk is drawn.

Load pattern: a version is named while nobody holds it, and every engine is
to have it within seconds over links as narrow as its live requests need
them. Entry daemons have wide links: they draw each chunk from the origin
once, carry it over each line between regions once, and send it to the
loaders of their failure domain. What an engine holds already comes from
there, once for each failure domain.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
)
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.membership.rendezvous import score_pair

# Relays of the own failure domain that a loader asks before others.
NEAR_ASKED: Final = 2
# Relays elsewhere that are asked before the origin itself.
FAR_ASKED: Final = 1
# Relays that draw a chunk for all others; the second where the first fails.
ROOTS_ASKED: Final = 2
# Bytes a second that the relays of one failure domain draw together: half of
# the narrowest line between regions, which carries live requests too, and
# more than a loader's link takes.
DOMAIN_RATE: Final = 800_000
# Chunks that a failure domain draws over such a line at the same time: one
# of them takes four times its part of the line's time, and the first ones are
# there for loaders while the last ones have not begun.
CONCURRENT_CHUNKS_PER_DOMAIN: Final = 4


def list_loader_sources(
    *, relays: Iterable[RelayRecord], domain: FailureDomainName, index: int
) -> tuple[RelayRecord, ...]:
    """Relays that a loader asks for a chunk, in this order."""
    ranked = _rank(relays, index)
    near = [relay for relay in ranked if relay.failure_domain == domain]
    far = [relay for relay in ranked if relay.failure_domain != domain]
    return (*near[:NEAR_ASKED], *far[:FAR_ASKED])


def list_relay_sources(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    origin_region: RegionName,
    index: int,
) -> tuple[RelayRecord, ...]:
    """Relays that a relay asks; none where it draws from the origin itself.

    A relay asks only those that rank before it: nobody waits in a circle.
    """
    ranked = _rank(relays, index)
    roots = [
        relay for relay in ranked if relay.region == origin_region
    ] or ranked
    before: list[RelayRecord] = []
    for root in roots[:ROOTS_ASKED]:
        if root.daemon == own:
            break
        before.append(root)
    return tuple(before)


def choose_rate(
    *, source: RegionName, own: RegionName, near: int, at_once: int
) -> int:
    """Bytes a second at which a relay is sent a chunk; zero for no bound.

    :param near: live relays of the own failure domain, which draw together.
    :param at_once: chunks that each of them draws at once.
    """
    if source == own:
        return 0
    return DOMAIN_RATE // min(
        max(near, 1) * at_once, CONCURRENT_CHUNKS_PER_DOMAIN
    )


def choose_start(
    *, origin: RegionName, own: RegionName, index: int, chunk_bytes: int
) -> float:
    """Seconds after which a relay begins to draw a chunk ahead.

    Across regions the relays of a failure domain draw one chunk after the
    other, whoever draws it: that keeps to the line's rate with any number of
    relays, and with any part of the chunks at one of them.
    """
    if origin == own:
        return 0
    return index * chunk_bytes / DOMAIN_RATE


def order_prefetch(
    indices: Iterable[int], is_root: Callable[[int], bool]
) -> tuple[int, ...]:
    """Chunks in the order in which a relay draws them ahead.

    Those that it draws from the origin come first: all others wait for them,
    and the origin may fail.
    """
    return tuple(sorted(indices, key=lambda index: (not is_root(index), index)))


def _rank(relays: Iterable[RelayRecord], index: int) -> Sequence[RelayRecord]:
    return sorted(
        relays, key=lambda relay: score_pair(str(index), relay.daemon)
    )
