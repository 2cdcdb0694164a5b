"""Bounded queue of log lines between the event loop and a slow writer."""

import logging
import queue
from logging.handlers import QueueHandler
from typing import Final

# Bounds the memory of waiting lines to some megabytes.
LINES_KEPT: Final = 4000
DROPPED: Final = 'log lines dropped'

LineStore = queue.Queue[logging.LogRecord]


class DroppingQueueHandler(QueueHandler):
    """Queue handler that drops and counts lines instead of blocking.

    :param lines: queue that a listener writes out.
    """

    def __init__(self, *, lines: LineStore) -> None:
        super().__init__(lines)
        self._lines = lines
        self._dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop it if the queue is full.

        The first line queued after a drop is preceded by a warning with the
        number of dropped lines.
        """
        if self._lines.full():
            self._dropped += 1
            return
        if self._dropped:
            self._lines.put_nowait(self._describe_dropped())
            self._dropped = 0
        try:
            self._lines.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def _describe_dropped(self) -> logging.LogRecord:
        record = logging.LogRecord(
            name=__name__,
            level=logging.WARNING,
            pathname=__file__,
            lineno=0,
            msg=DROPPED,
            args=None,
            exc_info=None,
        )
        record.lines = self._dropped
        return record
