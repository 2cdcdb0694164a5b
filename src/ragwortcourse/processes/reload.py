"""Settings that change while the daemon runs."""

import asyncio
import logging
import pathlib
import signal
from collections.abc import Callable
from typing import Final

from ragwortcourse.configuration.finding_text import format_finding
from ragwortcourse.settings import Settings
from ragwortcourse.settings_file import read_settings

# The file may change without a signal.
LOOK_SECONDS: Final = 5.0

LOGGER: Final = logging.getLogger(__name__)

Apply = Callable[[Settings], tuple[str, ...]]


async def follow_settings(
    *, path: pathlib.Path, settings: Settings, apply: Apply
) -> None:
    """Read the file again on SIGHUP, and now and then, for ever.

    A file that is wrong changes nothing; what is wrong is logged.

    :param apply: takes new settings over; names the parts of them that
        only a restart can change.
    """
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, told.set)
    current = settings
    try:
        while True:
            is_told = await _wait(told)
            current = _read_again(path, current, apply, is_told=is_told)
    finally:
        loop.remove_signal_handler(signal.SIGHUP)
        # A daemon that stops is not to be ended by it either.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def _wait(told: asyncio.Event) -> bool:
    try:
        async with asyncio.timeout(LOOK_SECONDS):
            await told.wait()
    except TimeoutError:
        return False
    told.clear()
    return True


def _read_again(
    path: pathlib.Path, current: Settings, apply: Apply, *, is_told: bool
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
    if read == current and not is_told:
        return current
    changed = list_changes(current, read)
    LOGGER.info(
        'settings reloaded',
        extra={
            'signal': is_told,
            'changed': changed,
            'needs_restart': apply(read) if changed else (),
        },
    )
    return read


def list_changes(old: Settings, new: Settings) -> tuple[str, ...]:
    """Names of the parts that differ."""
    return tuple(
        name
        for name in old.__struct_fields__
        if getattr(old, name) != getattr(new, name)
    )
