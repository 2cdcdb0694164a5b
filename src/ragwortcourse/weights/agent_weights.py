"""Everything an agent knows about weights on its host."""

import asyncio
import random
from collections.abc import Collection

from ragwortcourse.agent.served import ServedVersions
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.identifiers import DaemonId, Sha256Hex
from ragwortcourse.settings import AgentSettings, Settings
from ragwortcourse.weights.agent_weights_ports import AgentWeightsPorts
from ragwortcourse.weights.order_lease import OrderLease
from ragwortcourse.weights.peer_port import PeerAddress
from ragwortcourse.weights.reconciliation_state import ReconciliationState
from ragwortcourse.weights.transfer import Transfer
from ragwortcourse.weights.transfer_resources import TransferResources
from ragwortcourse.weights.tree import ChunkTree, build_tree


class AgentWeights:
    """The weights side of one agent.

    :param settings: of an agent.
    :param served: what the gate may answer with; this side fills it.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        holder: ConfigurationHolder,
        served: ServedVersions,
        ports: AgentWeightsPorts,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.holder = holder
        self.served = served
        self.ports = ports
        self.rng = rng
        self.agent = read_agent_settings(settings)
        self.own = PeerAddress(
            daemon=settings.daemon,
            address=settings.listen.peers,
            failure_domain=settings.failure_domain,
            region=settings.region,
        )
        self.exchange = TransferResources(
            chunk_memory=self.agent.chunk_memory,
            link_rate=self.agent.link_rate,
            count_live=ports.count_live,
        )
        self.order_lease = OrderLease(
            table=ports.table,
            target=self.agent.target,
            checks_fencing=self.agent.checks_fencing,
            rng=rng,
        )
        self.state = ReconciliationState()
        self.changed = asyncio.Event()

    def open_transfer(self, digest: Sha256Hex) -> Transfer:
        """The transfer of a manifest, begun if there is none yet."""
        transfer = self.exchange.transfers.get(digest)
        if transfer is None:
            transfer = Transfer(
                digest=digest,
                own=self.own,
                tree=self.build_current_tree(frozenset()),
                memory=self.exchange.memory,
            )
            self.exchange.transfers[digest] = transfer
            self.announce()
        return transfer

    def build_current_tree(self, spent: Collection[DaemonId]) -> ChunkTree:
        """A tree over the hosts known now that have something to give."""
        others = [
            peer for peer in self.ports.neighbours() if peer.daemon not in spent
        ]
        return build_tree(
            members=(*others, self.own),
            origin_region=self.settings.platform.origin_region,
        )

    def rebuild_tree_without_exhausted(self, transfer: Transfer) -> None:
        """Turn to hosts that are late too, once most others have ended.

        Hosts that join late are refused by those who were there before, and
        share what one of them draws from the origin.
        """
        members = {peer.daemon for peer in transfer.tree.members}
        spent = members & transfer.exhausted_peers
        if transfer.is_late() or 2 * len(spent) >= len(members):
            transfer.change_tree(
                self.build_current_tree(transfer.exhausted_peers)
            )

    def close_transfer(self, digest: Sha256Hex) -> None:
        """Forget a transfer and let its chunks go."""
        transfer = self.exchange.transfers.pop(digest, None)
        if transfer is not None:
            transfer.close()

    def announce(self) -> None:
        """Wake whoever waits for a change of this state."""
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()


def read_agent_settings(settings: Settings) -> AgentSettings:
    """The agent's part of the settings.

    :raises ValueError: these are not the settings of an agent.
    """
    if settings.agent is None:
        raise ValueError(f'{settings.daemon}: settings without [agent]')
    return settings.agent
