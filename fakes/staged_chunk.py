"""A chunk in the stage of an engine, and how it came to be as it is."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StagedChunk:
    """Content of one index, since its last write.

    :param written: content of the last write.
    :param written_at: when the engine performed that write.
    :param is_late: whether its sender had no answer by then, or never got
        one.
    :param rotted_at: when the content first became corrupted after the write;
        None if it is as written.
    """

    written: bytes
    written_at: float
    is_late: bool = False
    rotted_at: float | None = None

    @property
    def content(self) -> bytes:
        """Return the content as it is read."""
        return self.written if self.rotted_at is None else b'rotten'
