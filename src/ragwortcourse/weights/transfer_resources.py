"""Memory, link and peer state that all transfers of a host share."""

from collections.abc import Callable

from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.weights.chunk_memory import ChunkMemory
from ragwortcourse.weights.pace import LinkPacer
from ragwortcourse.weights.passing_uploads import PassingUploads
from ragwortcourse.weights.peer_health import PeerHealth
from ragwortcourse.weights.transfer import Transfer
from ragwortcourse.weights.uploads import UploadSlots


class TransferResources:
    """Resources of one host for exchanging chunks.

    :param chunk_memory: limit in bytes for chunks in memory.
    :param link_rate: bytes per second of the host's link; zero if unknown.
    :param count_live: counts live requests running on this host.
    """

    def __init__(
        self,
        *,
        chunk_memory: int,
        link_rate: int,
        count_live: Callable[[], int],
    ) -> None:
        self.memory = ChunkMemory(limit=chunk_memory)
        self.uploads = UploadSlots()
        self.passing_uploads = PassingUploads()
        self.health = PeerHealth()
        self.pace_down = LinkPacer(link_rate=link_rate, count_live=count_live)
        self.pace_up = LinkPacer(link_rate=link_rate, count_live=count_live)
        self.transfers: dict[Sha256Hex, Transfer] = {}
