"""A configuration as TOML text."""

from typing import Any

import msgspec
import tomlkit

from ragwortcourse.configuration.configuration import Configuration


def write_toml(configuration: Configuration) -> str:
    """TOML text that reads back as the same configuration."""
    plain: dict[str, Any] = msgspec.to_builtins(configuration)
    return tomlkit.dumps(_drop_empty(plain))


def _drop_empty(plain: Any) -> Any:
    if isinstance(plain, dict):
        return {
            key: _drop_empty(value)
            for key, value in plain.items()
            if value not in (None, [])
        }
    if isinstance(plain, list):
        return [_drop_empty(value) for value in plain]
    return plain
