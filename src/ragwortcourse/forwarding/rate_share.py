"""Division of a rate that binds all entry daemons together.

Load pattern: many daemons send to one target that takes few requests a
second from all of them. An even division gives each daemon less than one
request in some seconds, and any rounding up adds up to as many requests as
there are daemons. Only as many daemons as the rate has whole requests a
second may therefore send, chosen by rendezvous hashing without any message.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Final

from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.membership.rendezvous import score_pair

# A daemon may use its share of this time at once.
BURST_SECONDS: Final = 0.5
MIN_BURST: Final = 1.0


def rank_daemons(
    target: Target, daemons: Iterable[RelayRecord]
) -> tuple[DaemonId, ...]:
    """Rank daemons for a target, those in its failure domain first."""
    ranked = sorted(
        daemons, key=lambda daemon: _score(target, daemon), reverse=True
    )
    return tuple(daemon.daemon for daemon in ranked)


def compute_share(
    *, rate: float, ranked: Sequence[DaemonId], own: DaemonId, spare: int = 0
) -> float:
    """Compute the requests a second that one daemon may send to a target.

    :param rate: requests a second of all daemons together.
    :param ranked: daemons that are alive, this one included, as ranked for
        the target.
    :param spare: further daemons that may send.
    :return: zero if others send in place of this daemon.
    """
    senders = max(min(math.floor(rate), len(ranked)), 1)
    return rate / senders if own in ranked[: senders + spare] else 0


def compute_burst(share: float) -> float:
    """Compute the requests that a daemon may send at once."""
    return max(share * BURST_SECONDS, MIN_BURST)


def _score(target: Target, daemon: RelayRecord) -> tuple[bool, int, DaemonId]:
    return (
        daemon.failure_domain == target.failure_domain,
        score_pair(f'{target.name} {target.born}', daemon.daemon),
        daemon.daemon,
    )
