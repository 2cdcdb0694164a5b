"""Choice of the daemons to which a datagram for all daemons is sent.

Load pattern: each of hundreds of daemons sends its counts to all others some
times a second. Sent to each of them, the bytes between two regions grow with
the square of the number of daemons, and fill a narrow line beside the store's
rows and weights. One daemon of each other failure domain gets a datagram
instead, and passes it on to its neighbours.
"""

import collections
import dataclasses
import random
from collections.abc import Callable, Iterable
from typing import Final

from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.relay_daemons import RelayRecord

# Failure domains with fewer live daemons get a datagram for each daemon: a
# lost datagram to the only one that passes it on would cost more than it saves.
SMALLEST_DOMAIN: Final = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Audience:
    """Addresses that get a datagram for all daemons.

    :param near: daemons of the own failure domain.
    :param far: daemons of other failure domains that get their own datagram.
    :param forwarders: one daemon of each other failure domain that passes the
        datagram on to all daemons of that domain.
    """

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()
    forwarders: frozenset[str] = frozenset()

    @property
    def addresses(self) -> list[str]:
        """List all addresses that get a datagram."""
        return [*self.near, *self.far, *sorted(self.forwarders)]


def choose_audience(
    relays: Iterable[RelayRecord],
    *,
    own: RelayRecord,
    is_alive: Callable[[DaemonId], bool],
    rng: random.Random,
) -> Audience:
    """Choose who gets the datagrams of one round.

    Another daemon passes them on in each round, so that one which is dead,
    frozen or cut off costs its failure domain one message in some.

    :param relays: all registered entry daemons.
    :param is_alive: tells whether a daemon sent a message recently.
    """
    near: list[str] = []
    domains: dict[FailureDomainName, list[RelayRecord]] = (
        collections.defaultdict(list)
    )
    for relay in relays:
        if relay.failure_domain != own.failure_domain:
            domains[relay.failure_domain].append(relay)
        elif relay.daemon != own.daemon:
            near.append(relay.address)
    far: list[str] = []
    forwarders: list[str] = []
    for known in domains.values():
        alive = [each for each in known if is_alive(each.daemon)]
        if len(alive) < SMALLEST_DOMAIN:
            far.extend(each.address for each in known)
        else:
            forwarders.append(rng.choice(alive).address)
    return Audience(
        near=tuple(near), far=tuple(far), forwarders=frozenset(forwarders)
    )
