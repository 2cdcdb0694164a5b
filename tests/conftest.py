"""Pytest hooks: expected failures of KNOWN-RED.txt, logs of failed tests."""

import pathlib
import signal
from collections.abc import Generator

import pytest

from fakes.kept_logs import keep_logs

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
KEPT_LOGS = ROOT / '.failed'
HAS_FAILED = pytest.StashKey[bool]()
LOGS = 'kept logs'


@pytest.fixture(autouse=True)
def reset_hang_up() -> None:
    """Reset the action of SIGHUP, which processes of a test inherit.

    Daemons ignore it from the import of their program on, also in tests.
    """
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def read_known_red() -> list[str]:
    """Read the test node ids from the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists as expected failures."""
    listed = set(read_known_red())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Keep the logs of a failed test, also of an expected failure."""
    report = yield
    if report.failed or (report.skipped and hasattr(report, 'wasxfail')):
        item.stash[HAS_FAILED] = True
    source = getattr(item, 'funcargs', {}).get('tmp_path')
    # At teardown the processes have ended and written their last lines.
    if report.when == 'teardown' and item.stash.get(HAS_FAILED, False):
        folder = source and keep_logs(
            source=source, kept=KEPT_LOGS, name=item.nodeid
        )
        if folder:
            report.user_properties.append((LOGS, str(folder)))
    return report


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests and the folders of kept logs."""
    for nodeid in read_known_red():
        terminalreporter.write_line(f'KNOWN-RED, passed over: {nodeid}')
    for reports in terminalreporter.stats.values():
        for report in reports:
            for name, folder in getattr(report, 'user_properties', ()):
                if name == LOGS:
                    terminalreporter.write_line(f'{LOGS}: {folder}')
