"""Bounds how many lines of requests a process logs.

Load pattern: under overload each request is refused, each refusal is a line,
and the processor is needed for the requests.
"""

import logging
import time
from typing import Final

REQUEST_FIELD: Final = 'request'
# Lines about requests in one second, and at once.
LINES_PER_SECOND: Final = 100.0
LINES_AT_ONCE: Final = 200.0


class LineRateFilter(logging.Filter):
    """Lets lines that name a request pass up to a rate.

    Lines about the process itself always pass. ``dropped`` lines are told
    of with the next line that passes.
    """

    def __init__(self) -> None:
        super().__init__()
        self._tokens = LINES_AT_ONCE
        self._filled_at = time.monotonic()
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a line is written."""
        if not hasattr(record, REQUEST_FIELD):
            return True
        now = time.monotonic()
        gained = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(self._tokens + gained, LINES_AT_ONCE)
        self._filled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        if self._dropped:
            record.lines_left_out = self._dropped
            self._dropped = 0
        return True
