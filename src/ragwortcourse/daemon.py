"""Command ``ragwortcoursed``: one daemon with the role in its settings."""

import os
import pathlib
import signal
import sys
from typing import Final

# The default action of SIGHUP would end a daemon that is still starting.
# The signal reloads the settings once the daemon follows its settings file.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# libuv reads this variable when it is loaded; see docs/design/event-loop.md.
os.environ['UV_USE_IO_URING'] = '0'

import click
from aiomisc import entrypoint

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.finding_text import format_finding
from ragwortcourse.event_loop import EventLoop
from ragwortcourse.processes.service import DaemonService
from ragwortcourse.processes.unusable_addresses import UnusableAddressesError
from ragwortcourse.settings import Settings
from ragwortcourse.settings_file import read_settings
from ragwortcourse.telemetry.logs import set_up_logging
from ragwortcourse.telemetry.providers import set_up_telemetry

TASK_FAILED_STATUS: Final = 1
INVALID_SETTINGS_STATUS: Final = 2
# Longest wait after SIGTERM for requests in progress.
DRAIN_SECONDS: Final = 600.0
# Threads only resolve host names and flush telemetry; more cost memory.
POOL_SIZE: Final = 2


@click.command()
@click.option(
    '--settings',
    'path',
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help='TOML file with the settings of this process.',
)
@click.option(
    '--check', is_flag=True, help='Check the settings, start nothing.'
)
def main(path: pathlib.Path, *, check: bool) -> None:
    """Run an entry daemon or an agent until SIGTERM.

    Example: ragwortcoursed --settings /etc/ragwortcourse/entry.toml
    """
    settings = read_settings(path)
    if isinstance(settings, tuple):
        report_findings(settings, path)
        sys.exit(INVALID_SETTINGS_STATUS)
    if check:
        return
    try:
        run_daemon(settings, path)
    except UnusableAddressesError as error:
        report_findings(error.findings, path)
        sys.exit(INVALID_SETTINGS_STATUS)


def report_findings(findings: tuple[Finding, ...], path: pathlib.Path) -> None:
    """Print each finding about the settings to standard error."""
    for finding in findings:
        click.echo(format_finding(finding, str(path)), err=True)


def run_daemon(settings: Settings, path: pathlib.Path) -> None:
    """Run until SIGTERM, then finish the requests in progress."""
    flush_logs = set_up_logging(settings)
    telemetry = set_up_telemetry(settings)
    service = DaemonService(settings=settings, path=path)
    with entrypoint(
        service,
        log_config=False,
        pool_size=POOL_SIZE,
        shutdown_timeout=DRAIN_SECONDS,
        loop_factory=EventLoop,
    ) as loop:
        loop.run_forever()
    telemetry.shut_down()
    flush_logs()
    if service.broken:
        sys.exit(TASK_FAILED_STATUS)


if __name__ == '__main__':
    main()
