"""Reload of the settings file while the daemon runs."""

import asyncio
import logging
import pathlib
import signal
from collections.abc import Callable
from typing import Final

from ragwortcourse.configuration.finding_text import format_finding
from ragwortcourse.settings import Settings
from ragwortcourse.settings_file import read_settings

# The file is also polled, because it may change without a signal.
POLL_SECONDS: Final = 5.0

LOGGER: Final = logging.getLogger(__name__)

Apply = Callable[[Settings], tuple[str, ...]]


async def follow_settings(
    *, path: pathlib.Path, settings: Settings, apply: Apply
) -> None:
    """Reload the file on SIGHUP and periodically until cancelled.

    An invalid file changes nothing; its findings are logged.

    :param path: TOML file with the settings.
    :param settings: settings in effect at the start.
    :param apply: applies new settings and returns the names of the changed
        sections that need a restart.
    """
    loop = asyncio.get_running_loop()
    signalled = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, signalled.set)
    current = settings
    try:
        while True:
            by_signal = await _wait_for_signal(signalled)
            current = _reload(path, current, apply, by_signal=by_signal)
    finally:
        loop.remove_signal_handler(signal.SIGHUP)
        # The default action of SIGHUP would end a daemon that is draining.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def _wait_for_signal(signalled: asyncio.Event) -> bool:
    try:
        async with asyncio.timeout(POLL_SECONDS):
            await signalled.wait()
    except TimeoutError:
        return False
    signalled.clear()
    return True


def _reload(
    path: pathlib.Path, current: Settings, apply: Apply, *, by_signal: bool
) -> Settings:
    read = read_settings(path)
    if isinstance(read, tuple):
        LOGGER.error(
            'settings not reloaded',
            extra={
                'findings': [format_finding(each, str(path)) for each in read]
            },
        )
        return current
    if read == current and not by_signal:
        return current
    changed = list_changes(current, read)
    LOGGER.info(
        'settings reloaded',
        extra={
            'signal': by_signal,
            'changed': changed,
            'needs_restart': apply(read) if changed else (),
        },
    )
    return read


def list_changes(old: Settings, new: Settings) -> tuple[str, ...]:
    """Return the names of the top-level settings that differ."""
    return tuple(
        name
        for name in old.__struct_fields__
        if getattr(old, name) != getattr(new, name)
    )
