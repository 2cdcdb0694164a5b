"""Choice of the daemons that relay rows of the store.

Load pattern: a desired state with many routes changes several times a second,
and each daemon that reads the store transfers the whole state over the link
between regions. Only a few daemons of a failure domain therefore read the
store, and the others ask those daemons. If the first ones lose the store, the
next ones take their place, and not all daemons at once.
"""

from collections.abc import Iterable
from typing import Final

from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.membership.rendezvous import score_pair

# The second daemon is asked if the first does not answer.
MAX_READERS: Final = 2
# Some of these daemons may have lost the store, too.
MAX_FALLBACK_READERS: Final = 4


def list_upstream_readers(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    domain: FailureDomainName,
) -> tuple[RelayRecord, ...]:
    """Return the daemons to ask first; empty to ask the store.

    A daemon asks only daemons of its failure domain that rank before it, so
    no cycle of waiting daemons can arise.
    """
    names, near = _rank(relays, domain)
    before = near[: names.index(own)] if own in names else near
    return tuple(before[:MAX_READERS])


def list_successors(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    domain: FailureDomainName,
) -> tuple[RelayRecord, ...]:
    """Return the daemons to ask after the upstream readers, before the store.

    They rank between these and the asking daemon. The first ones read the
    store themselves as soon as the upstream readers wait for it.
    """
    names, near = _rank(relays, domain)
    before = near[: names.index(own)] if own in names else near
    return tuple(before[MAX_READERS : len(before) - len(before) % MAX_READERS])


def list_shared_readers(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    domain: FailureDomainName,
) -> tuple[RelayRecord, ...]:
    """Return the daemons that may read a shared table for this one.

    The first ``MAX_READERS`` daemons of a failure domain read the store, so
    nobody reads for them. All others list every daemon that ranks before them:
    where the first ones are silent, the next ones read.
    """
    names, near = _rank(relays, domain)
    if own in names[:MAX_READERS]:
        return ()
    return tuple(near[: names.index(own)] if own in names else near)


def list_fallback_readers(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    domain: FailureDomainName,
) -> tuple[RelayRecord, ...]:
    """Return the daemons to ask if the store does not answer.

    These daemons rank after the asking daemon. Their answers are not relayed
    further, so no cycle of waiting daemons can arise.
    """
    names, near = _rank(relays, domain)
    after = near[names.index(own) + 1 :] if own in names else []
    return tuple(after[:MAX_FALLBACK_READERS])


def _rank(
    relays: Iterable[RelayRecord], domain: FailureDomainName
) -> tuple[list[DaemonId], list[RelayRecord]]:
    near = sorted(
        (relay for relay in relays if relay.failure_domain == domain),
        key=lambda relay: score_pair(domain, relay.daemon),
    )
    return [relay.daemon for relay in near], near
