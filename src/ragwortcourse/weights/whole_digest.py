"""Digest of a whole version, computed while chunks arrive out of order."""

import hashlib

from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.weights.held_chunks import HeldChunks


class WholeDigest:
    """Hash each chunk as soon as all preceding chunks are hashed.

    A chunk is marked as consumed once it is hashed and stored in the engine.

    :param held: chunks that this host holds.
    """

    def __init__(self, *, held: HeldChunks) -> None:
        self._held = held
        self._hash = hashlib.sha256()
        self._next = 0
        self._stored: set[int] = set()

    def advance(self) -> None:
        """Hash all held chunks that follow the last hashed chunk."""
        while True:
            content = self._held.find(self._next)
            if content is None:
                return
            self._hash.update(content)
            self._settle(self._next)
            self._next += 1

    def note_stored(self, index: int) -> None:
        """Record that the engine holds a chunk."""
        self._stored.add(index)
        if index < self._next:
            self._settle(index)

    def read(self) -> Sha256Hex:
        """Return the digest of all chunks hashed so far."""
        return Sha256Hex(self._hash.hexdigest())

    def _settle(self, index: int) -> None:
        if index in self._stored:
            self._stored.discard(index)
            self._held.mark_consumed(index)
