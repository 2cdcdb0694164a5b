"""Staged chunks of a stand-in engine, which may turn bad by themselves."""

import dataclasses
import time

CHUNKS = 6
CHUNK_BYTES = 8192
# A chunk that turned bad more recently excuses a load.
EXCUSED_SECONDS = 3.0


def make_piece(model: str, version: int, index: int) -> bytes:
    """Build the bytes of a chunk of weights, which only this chunk has."""
    return f'{model}/{version}/{index}/'.encode().ljust(CHUNK_BYTES, b'w')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rot:
    """A staged chunk that has turned bad.

    :param written: bytes that were staged.
    :param at: monotonic seconds.
    """

    written: bytes
    at: float


class SoakStage:
    """Chunks of a model that an engine loads as they are, without a check."""

    def __init__(self, model: str) -> None:
        self._model = model
        self.contents: dict[int, bytes] = {}
        self._rotten: dict[int, Rot] = {}

    def write(self, index: int, content: bytes) -> None:
        """Stage a chunk, replacing any other."""
        self.contents[index] = content
        self._rotten.pop(index, None)

    def rot(self, index: int) -> None:
        """Change a staged chunk, if there is one."""
        content = self.contents.get(index)
        if content is None or index in self._rotten:
            return
        self._rotten[index] = Rot(written=content, at=time.monotonic())
        self.contents[index] = content[:-1] + b'?'

    def find_spoilt(self, version: int) -> list[int]:
        """Find the chunks that make a load of a version now a violation."""
        since = time.monotonic() - EXCUSED_SECONDS
        spoilt = []
        for index in range(CHUNKS):
            content = self.contents.get(index)
            rotten = self._rotten.get(index)
            if rotten is not None and rotten.at > since:
                content = rotten.written
            if content != make_piece(self._model, version, index):
                spoilt.append(index)
        return spoilt
