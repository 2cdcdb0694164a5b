"""State of an agent's weights: transfers, orders and reconciliation."""

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
    """Weights of one agent's target.

    :param settings: settings of an agent.
    :param holder: configuration in force.
    :param served: versions that the gate may answer with; reconciliation
        fills it.
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
        """Return the transfer of a manifest; start one if there is none."""
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
        """Build a tree over this host and the known peers.

        :param spent: peers to leave out because they have evicted chunks or
            refused requests.
        """
        others = [
            peer for peer in self.ports.list_peers() if peer.daemon not in spent
        ]
        return build_tree(
            members=(*others, self.own),
            origin_region=self.settings.platform.origin_region,
        )

    def rebuild_tree_without_exhausted(self, transfer: Transfer) -> None:
        """Rebuild the tree once sources refuse early or half are exhausted.

        The new tree also has the hosts that joined late. Earlier members
        refuse these hosts, so they share what one of them downloads from the
        origin.
        """
        members = {peer.daemon for peer in transfer.tree.members}
        spent = members & transfer.exhausted_peers
        if transfer.is_late() or 2 * len(spent) >= len(members):
            transfer.change_tree(
                self.build_current_tree(transfer.exhausted_peers)
            )

    def close_transfer(self, digest: Sha256Hex) -> None:
        """Remove a transfer and release its chunks."""
        transfer = self.exchange.transfers.pop(digest, None)
        if transfer is not None:
            transfer.close()

    def announce(self) -> None:
        """Wake all tasks that wait for a change of the transfers."""
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()


def read_agent_settings(settings: Settings) -> AgentSettings:
    """Return the agent section of the settings.

    :raises ValueError: the settings have no agent section.
    """
    if settings.agent is None:
        raise ValueError(f'{settings.daemon}: settings have no [agent] section')
    return settings.agent
