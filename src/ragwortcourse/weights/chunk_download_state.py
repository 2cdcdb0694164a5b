"""How the search for one chunk stands."""

import dataclasses

from ragwortcourse.weights.transfer import Transfer


@dataclasses.dataclass(slots=True, kw_only=True)
class ChunkDownloadState:
    """How the search for one chunk stands.

    :param laters: times that a source asked for patience.
    :param origin_failed: the origin did not give the chunk.
    :param gone: a source held the chunk and let it go.
    :param waiting: a source lives and expects to get the chunk.
    :param refused: a source's link has carried its copies.
    """

    transfer: Transfer
    index: int
    started_at: float
    attempts: int = 0
    laters: int = 0
    origin_failed: bool = False
    gone: bool = False
    waiting: bool = False
    refused: bool = False

    def forget_answers(self) -> None:
        """Begin to ask anew."""
        self.gone = False
        self.waiting = False
        self.refused = False
