"""Rate limit for log lines about requests.

Load pattern: under overload each refused request logs a line, and writing
the lines takes processor time that the requests need.
"""

import logging
import time
from typing import Final

REQUEST_FIELD: Final = 'request'
# Token bucket: sustained rate and burst of lines about requests.
LINES_PER_SECOND: Final = 100.0
LINES_AT_ONCE: Final = 200.0


class LineRateFilter(logging.Filter):
    """Logging filter that limits the rate of lines that name a request.

    Lines about the process itself always pass. The next line that passes
    carries the number of dropped lines in ``lines_left_out``.
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
