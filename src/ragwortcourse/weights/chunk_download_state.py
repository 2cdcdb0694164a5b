"""State of the download of one chunk."""

import dataclasses

from ragwortcourse.weights.transfer import Transfer


@dataclasses.dataclass(slots=True, kw_only=True)
class ChunkDownloadState:
    """State of the download of one chunk.

    :param index: chunk, or ``MANIFEST_INDEX``.
    :param started_at: monotonic seconds.
    :param attempts: rounds of requests that ended without the chunk.
    :param not_ready_count: "not ready" answers from sources.
    :param origin_failed: the origin failed to return the chunk.
    :param gone: in this round, a source had evicted the chunk or refused it.
    :param waiting: in this round, a source answered "not ready".
    :param refused: in this round, a source had no link budget left for this
        version, or kept it for other chunks.
    """

    transfer: Transfer
    index: int
    started_at: float
    attempts: int = 0
    not_ready_count: int = 0
    origin_failed: bool = False
    gone: bool = False
    waiting: bool = False
    refused: bool = False

    def reset_answers(self) -> None:
        """Reset what the sources answered, for the next round."""
        self.gone = False
        self.waiting = False
        self.refused = False
