"""Search for the end of a head in the pieces of a connection."""

from typing import Final

HEAD_END: Final = b'\r\n\r\n'
_KEPT: Final = len(HEAD_END) - 1


class HeadEnd:
    """Search over the pieces of one head.

    :ivar size: bytes of the head so far.
    """

    def __init__(self) -> None:
        self.size = 0
        self._tail = b''

    def find(self, piece: bytes) -> bool:
        """Add a piece, and tell whether the head ends in it."""
        self.size += len(piece)
        searched = self._tail + piece[: len(HEAD_END)]
        self._tail = (self._tail + piece[-_KEPT:])[-_KEPT:]
        return HEAD_END in searched or HEAD_END in piece
