"""Formats configurations as TOML text."""

from typing import Any, Final

import msgspec
import tomlkit

from ragwortcourse.configuration.configuration import Configuration

OMITTED_VALUES: Final[tuple[object, ...]] = (None, [], ())


def format_toml(configuration: Configuration) -> str:
    """Format a configuration as TOML that parses to an equal one.

    Empty values are left out: TOML has no null, and absent keys take the
    same defaults.
    """
    plain: dict[str, Any] = msgspec.to_builtins(configuration)
    return tomlkit.dumps(_drop_empty(plain))


def _drop_empty(plain: Any) -> Any:
    if isinstance(plain, dict):
        return {
            key: _drop_empty(value)
            for key, value in plain.items()
            if value not in OMITTED_VALUES
        }
    if isinstance(plain, list | tuple):
        return [_drop_empty(value) for value in plain]
    return plain
