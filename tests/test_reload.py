"""Tests of :mod:`ragwortcourse.processes.reload`."""

import asyncio
import contextlib
import os
import pathlib
import signal

import pytest

from fakes.fleet_parts import FORWARDER_TEXT
from ragwortcourse.processes.reload import follow_settings, list_changes
from ragwortcourse.settings import Settings
from ragwortcourse.settings_file import parse_settings

TEXT = FORWARDER_TEXT.format(
    peers='127.0.0.1:7000',
    watch='127.0.0.1:7001',
    callers='127.0.0.1:7002',
    store='127.0.0.1:7003',
)


def read(text: str) -> Settings:
    """Parse valid settings."""
    settings = parse_settings(text)
    assert isinstance(settings, Settings)
    return settings


class FollowedFile:
    """A settings file that is reloaded, with the settings applied."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.applied: list[Settings] = []
        path.write_text(TEXT)

    def apply(self, settings: Settings) -> tuple[str, ...]:
        """Record the applied settings."""
        self.applied.append(settings)
        return ()

    @contextlib.asynccontextmanager
    async def run(self):
        """Reload the file in a task."""
        task = asyncio.ensure_future(
            follow_settings(
                path=self.path, settings=read(TEXT), apply=self.apply
            )
        )
        await asyncio.sleep(0.05)
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def hang_up(self) -> None:
        """Send SIGHUP to this process."""
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.1)


@pytest.fixture
def followed(tmp_path) -> FollowedFile:
    """Write a settings file."""
    return FollowedFile(tmp_path / 'settings.toml')


class TestFollowSettings:
    """Reload on SIGHUP and on a change of the file."""

    async def test_hang_up_without_a_change(self, followed, caplog):
        """SIGHUP does not end the daemon and is logged."""
        caplog.set_level('INFO')
        async with followed.run():
            await followed.hang_up()
        assert not followed.applied
        assert any('reloaded' in each.message for each in caplog.records)

    async def test_changed(self, followed):
        """Changed settings are applied on SIGHUP."""
        async with followed.run():
            followed.path.write_text(TEXT.replace('5000', '4000'))
            await followed.hang_up()
        (settings,) = followed.applied
        assert settings.fleet.revoke_ms == 4000

    async def test_wrong_file(self, followed, caplog):
        """An invalid file changes nothing, and all findings are logged."""
        async with followed.run():
            followed.path.write_text('role = 7\nhost = 8\n')
            await followed.hang_up()
        assert not followed.applied
        (line,) = (each for each in caplog.records if 'not' in each.message)
        assert len(line.findings) >= 2

    async def test_without_a_signal(self, followed, monkeypatch):
        """A changed file is applied without a signal."""
        monkeypatch.setattr('ragwortcourse.processes.reload.POLL_SECONDS', 0.05)
        async with followed.run():
            followed.path.write_text(TEXT.replace('5000', '4000'))
            await asyncio.sleep(0.3)
        assert len(followed.applied) == 1


class TestListChanges:
    """Names of the settings that differ."""

    def test_names(self):
        """Only the changed sections are named."""
        assert list_changes(read(TEXT), read(TEXT)) == ()
        other = read(TEXT.replace('5000', '4000').replace('7002', '7005'))
        assert set(list_changes(read(TEXT), other)) == {'listen', 'fleet'}
