"""Writes log lines to standard output from one thread."""

import logging
import os
from typing import Final

STANDARD_OUTPUT: Final = 1


class LineWriter(logging.Handler):
    """Writes without a buffer and without a lock.

    The process would wait for both as it ends, and so for a reader that has
    stopped reading. One thread alone writes.
    """

    def createLock(self) -> None:  # noqa: N802  # the library's name
        """Need no lock."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write a whole line; blocks while the reader is slow."""
        left = f'{self.format(record)}\n'.encode()
        while left:
            left = left[os.write(STANDARD_OUTPUT, left) :]
