"""Tests of ``ragwortcoursed`` as a process."""

import asyncio
import pathlib
import signal
import socket
import subprocess
import sys

import pytest
from aiohttp import web

from fakes.fleet_parts import make_settings
from fakes.ports import pick_address
from ragwortcourse.processes import service
from ragwortcourse.processes.reload import follow_settings
from ragwortcourse.settings_file import parse_settings

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
KEYS = ('peers', 'watch', 'callers', 'operators')
END_SECONDS = 60

pytestmark = pytest.mark.processes


def start_daemon(path: pathlib.Path) -> 'subprocess.CompletedProcess[str]':
    """Run a daemon until the process exits."""
    return subprocess.run(
        [sys.executable, '-m', 'ragwortcourse.daemon', '--settings', path],
        capture_output=True,
        text=True,
        timeout=END_SECONDS,
        check=False,
    )


class TestUnusableAddresses:
    """Listen addresses that are already in use."""

    def test_all_are_named_together(self, tmp_path):
        """Exit code 2 and one line per address, with its key and value."""
        listen = {key: pick_address() for key in KEYS}
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
            f'listen.operators = {listen["operators"]}',
            f'listen.watch = {listen["watch"]}',
        ]


class TestHangUp:
    """SIGHUP before and after a daemon follows its settings file."""

    def test_starting(self):
        """SIGHUP does not end a daemon that is starting.

        Incident: in the soak with seed 1, a SIGHUP right after a restart ended
        the process.
        """
        code = (
            'import signal, ragwortcourse.daemon;'
            'print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)'
        )
        done = subprocess.run(
            [sys.executable, '-c', code], capture_output=True, check=True
        )
        assert done.stdout.strip() == b'True'

    async def test_stopping(self, tmp_path):
        """SIGHUP is ignored once the daemon no longer follows its settings."""
        task = asyncio.ensure_future(
            follow_settings(
                path=tmp_path / 'settings.toml',
                settings=make_settings(),
                apply=lambda settings: (),
            )
        )
        await asyncio.sleep(0.05)
        assert signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN


class TestHealth:
    """Order in which the ports of a daemon are opened."""

    async def test_all_ports_are_open_before(self, monkeypatch, tmp_path):
        """The watch port with ``/healthz`` is opened last.

        Otherwise callers of a daemon that reports alive could be refused at
        another port.
        """
        opened = []

        async def note_site(*, address, **_):
            opened.append(address)
            return web.AppRunner(web.Application())

        monkeypatch.setattr(service, 'open_site', note_site)
        listen = {key: pick_address() for key in KEYS}
        settings = parse_settings(SETTINGS.format(**listen))
        daemon = service.DaemonService(
            settings=settings, path=tmp_path / 'settings.toml'
        )
        daemon.set_loop(asyncio.get_running_loop())
        starting = asyncio.create_task(daemon.start())
        await daemon.start_event.wait()
        starting.cancel()
        await daemon.stop()
        assert opened[-1] == settings.listen.watch
        assert len(opened) == 4


def split(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
