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
    """Settings in a text."""
    settings = parse_settings(text)
    assert isinstance(settings, Settings)
    return settings


class Followed:
    """A file that is followed."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.applied: list[Settings] = []
        path.write_text(TEXT)

    def apply(self, settings: Settings) -> tuple[str, ...]:
        """Keep what is applied."""
        self.applied.append(settings)
        return ()

    @contextlib.asynccontextmanager
    async def run(self):
        """Follow it."""
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
def followed(tmp_path) -> Followed:
    """A file of settings."""
    return Followed(tmp_path / 'settings.toml')


class TestFollowSettings:
    """What a change of the file does."""

    async def test_hang_up_without_a_change(self, followed, caplog):
        """SIGHUP ends no daemon, and leaves a line."""
        caplog.set_level('INFO')
        async with followed.run():
            await followed.hang_up()
        assert not followed.applied
        assert any('reloaded' in each.message for each in caplog.records)

    async def test_changed(self, followed):
        """New bounds are taken over."""
        async with followed.run():
            followed.path.write_text(TEXT.replace('5000', '4000'))
            await followed.hang_up()
        (settings,) = followed.applied
        assert settings.fleet.revoke_ms == 4000

    async def test_wrong_file(self, followed, caplog):
        """A wrong file changes nothing and is reported whole."""
        async with followed.run():
            followed.path.write_text('role = 7\nhost = 8\n')
            await followed.hang_up()
        assert not followed.applied
        (line,) = (each for each in caplog.records if 'not' in each.message)
        assert len(line.findings) >= 2

    async def test_without_a_signal(self, followed, monkeypatch):
        """A change is found without a signal too."""
        monkeypatch.setattr('ragwortcourse.processes.reload.LOOK_SECONDS', 0.05)
        async with followed.run():
            followed.path.write_text(TEXT.replace('5000', '4000'))
            await asyncio.sleep(0.3)
        assert len(followed.applied) == 1


class TestListChanges:
    """What differs."""

    def test_names(self):
        """The parts that differ are named."""
        assert list_changes(read(TEXT), read(TEXT)) == ()
        other = read(TEXT.replace('5000', '4000').replace('7002', '7005'))
        assert set(list_changes(read(TEXT), other)) == {'listen', 'fleet'}
