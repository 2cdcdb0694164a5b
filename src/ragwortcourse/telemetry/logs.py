"""Logs: one JSON line for each change of state."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from ragwortcourse.settings import Settings


def set_up_logging(settings: Settings) -> None:
    """Write every line as JSON to standard error, with the daemon's name.

    :param settings: gives the level and the names that each line carries.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
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
    logging.basicConfig(
        handlers=[handler], level=settings.telemetry.log_level, force=True
    )
    # A line for each request would not be a change of state.
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)
