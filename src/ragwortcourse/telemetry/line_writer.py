"""Log handler that writes to standard output from one thread."""

import logging
import os
from typing import Final

STANDARD_OUTPUT: Final = 1


class LineWriter(logging.Handler):
    """Unbuffered, lock-free handler for a single writing thread.

    With a buffer or a lock, the process would wait at exit for a reader
    that has stopped reading.
    """

    def createLock(self) -> None:  # noqa: N802  # overrides logging.Handler
        """Set no lock, because only one thread writes."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write a whole line; block while the reader is slow."""
        remaining = f'{self.format(record)}\n'.encode()
        while remaining:
            remaining = remaining[os.write(STANDARD_OUTPUT, remaining) :]
