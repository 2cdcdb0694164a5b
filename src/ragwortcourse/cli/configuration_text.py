"""A configuration as TOML text."""

from typing import Any, Final

import msgspec
import tomlkit

from ragwortcourse.configuration.configuration import Configuration

EMPTY: Final[tuple[object, ...]] = (None, [], ())


def format_toml(configuration: Configuration) -> str:
    """TOML text that reads back as the same configuration."""
    plain: dict[str, Any] = msgspec.to_builtins(configuration)
    return tomlkit.dumps(_drop_empty(plain))


def _drop_empty(plain: Any) -> Any:
    if isinstance(plain, dict):
        return {
            key: _drop_empty(value)
            for key, value in plain.items()
            if value not in EMPTY
        }
    if isinstance(plain, list | tuple):
        return [_drop_empty(value) for value in plain]
    return plain
