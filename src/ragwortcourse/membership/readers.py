"""Whom a daemon asks for what the store holds, before the store itself.

Load pattern: a desired state of many routes changes several times a second,
and each daemon that reads it from the store takes the whole of it over the
line between regions. So a few daemons of a failure domain read the store,
and the others ask them.
"""

from collections.abc import Iterable
from typing import Final

from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.membership.rendezvous import score_pair

# The second one is asked where the first does not answer.
READERS_ASKED: Final = 2
# Some of them may have lost the store too.
MAX_FALLBACK_READERS: Final = 4


def list_readers(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    domain: FailureDomainName,
) -> tuple[RelayRecord, ...]:
    """Daemons of the failure domain to be asked first; none: ask the store.

    A daemon asks only those that rank before it: nobody waits in a circle.
    """
    names, near = _rank(relays, domain)
    before = near[: names.index(own)] if own in names else near
    return tuple(before[:READERS_ASKED])


def list_fallback_readers(
    *,
    relays: Iterable[RelayRecord],
    own: DaemonId,
    domain: FailureDomainName,
) -> tuple[RelayRecord, ...]:
    """Daemons to be asked where the store does not answer either.

    They rank after the own one. What they tell is not passed on, so that
    here too nobody waits in a circle.
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
