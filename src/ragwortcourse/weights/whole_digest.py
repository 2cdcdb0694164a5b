"""The digest of the whole, taken while chunks come out of order."""

import hashlib

from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.weights.held_chunks import HeldChunks


class WholeDigest:
    """Takes chunks in as soon as all before them are in."""

    def __init__(self, *, held: HeldChunks) -> None:
        self._held = held
        self._hash = hashlib.sha256()
        self._next = 0
        self._stored: set[int] = set()

    def advance(self) -> None:
        """Take in every chunk whose turn it is."""
        while True:
            content = self._held.find(self._next)
            if content is None:
                return
            self._hash.update(content)
            self._settle(self._next)
            self._next += 1

    def note_stored(self, index: int) -> None:
        """Note that the engine holds a chunk."""
        self._stored.add(index)
        if index < self._next:
            self._settle(index)

    def read(self) -> Sha256Hex:
        """Digest of all that was taken in."""
        return Sha256Hex(self._hash.hexdigest())

    def _settle(self, index: int) -> None:
        if index in self._stored:
            self._stored.discard(index)
            self._held.mark_consumed(index)
