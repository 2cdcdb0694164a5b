"""Logs: one JSON line for each decision and change of state."""

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

# For the last lines of a process that ends.
FLUSH_SECONDS: Final = 0.3


def set_up_logging(settings: Settings) -> Callable[[], None]:
    """Write every line as JSON to standard output, with the daemon's name.

    A thread writes the lines, so that a reader that stops reading holds up
    nothing else; it ends with the process, whatever it waits for.

    :param settings: gives the level and the names that each line carries.
    :return: writes what still waits, for a moment at the most.
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
    # Level and name are fields of their own.
    handler.setFormatter(logging.Formatter('%(message)s'))
    listener = QueueListener(lines, writer)
    listener.start()
    logging.basicConfig(
        handlers=[handler], level=settings.telemetry.log_level, force=True
    )
    # A line for each request would not be a change of state.
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)

    def flush() -> None:
        # The reader may never read again; the process ends all the same.
        ending = threading.Thread(target=listener.stop, daemon=True)
        ending.start()
        ending.join(FLUSH_SECONDS)

    return flush
