"""Logging setup: one JSON line for each decision and state change."""

import logging
import queue
import threading
from collections.abc import Callable
from logging.handlers import QueueListener
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from ragwortcourse.settings import Settings
from ragwortcourse.telemetry.line_queue import LINES_KEPT, DroppingQueueHandler
from ragwortcourse.telemetry.line_rate import LineRateFilter
from ragwortcourse.telemetry.line_writer import LineWriter

# Upper bound on the wait for the last log lines at exit.
FLUSH_SECONDS: Final = 0.3


def set_up_logging(settings: Settings) -> Callable[[], None]:
    """Write every log line as JSON to standard output, with the daemon's name.

    A daemon thread writes the lines, so that a reader that stops reading
    blocks neither the event loop nor the exit of the process.

    :param settings: source of the log level and of the daemon, role and
        failure domain that each line carries.
    :return: function that flushes waiting lines within ``FLUSH_SECONDS``.
    """
    writer = LineWriter()
    writer.setFormatter(
        JsonFormatter(
            '{asctime}{levelname}{name}{message}',
            style='{',
            rename_fields={'asctime': 'at', 'levelname': 'level'},
            static_fields={
                'daemon': settings.daemon,
                'role': str(settings.role),
                'failure_domain': settings.failure_domain,
            },
        ),
    )
    lines: queue.Queue[logging.LogRecord] = queue.Queue(LINES_KEPT)
    handler = DroppingQueueHandler(lines=lines)
    handler.addFilter(LineRateFilter())
    # Level and logger name are separate JSON fields.
    handler.setFormatter(logging.Formatter('%(message)s'))
    listener = QueueListener(lines, writer)
    listener.start()
    logging.basicConfig(
        handlers=[handler], level=settings.telemetry.log_level, force=True
    )
    # Access logs would add a line for each request.
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)

    def flush() -> None:
        # The reader may have stopped reading, which must not block the exit.
        stopping = threading.Thread(target=listener.stop, daemon=True)
        stopping.start()
        stopping.join(FLUSH_SECONDS)

    return flush
