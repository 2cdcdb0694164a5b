"""Tests of ``ragwortcoursed`` as a process."""

import pathlib
import socket
import subprocess
import sys

import pytest

from fakes.ports import pick_address

SETTINGS = """
role = "entry"
daemon = "entry-1"
host = "host-1"
failure_domain = "milano-a"
region = "lombardia"
[listen]
peers = "{peers}"
watch = "{watch}"
callers = "{callers}"
operators = "{operators}"
[entry]
"""
END_SECONDS = 60

pytestmark = pytest.mark.processes


def start_daemon(path: pathlib.Path) -> 'subprocess.CompletedProcess[str]':
    """Run a daemon until it ends by itself."""
    return subprocess.run(
        [sys.executable, '-m', 'ragwortcourse.daemon', '--settings', path],
        capture_output=True,
        text=True,
        timeout=END_SECONDS,
        check=False,
    )


class TestUnusableAddresses:
    """Ports on which something else listens."""

    def test_all_are_named_together(self, tmp_path):
        """Exit code 2; a line for each address, with its key and value."""
        keys = ('peers', 'watch', 'callers', 'operators')
        listen = {key: pick_address() for key in keys}
        path = tmp_path / 'entry.toml'
        path.write_text(SETTINGS.format(**listen))
        with (
            socket.create_server(split(listen['watch'])),
            socket.create_server(split(listen['operators'])),
        ):
            ended = start_daemon(path)
        assert ended.returncode == 2
        lines = ended.stderr.splitlines()
        assert [line.split(': ')[1] for line in lines] == [
            f'listen.watch = {listen["watch"]}',
            f'listen.operators = {listen["operators"]}',
        ]


def split(address: str) -> tuple[str, int]:
    """Host and port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)
