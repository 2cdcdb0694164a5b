"""Helpers to start processes and to check whether they answer."""

import asyncio
import hashlib
from typing import Any

import aiohttp

from ragwortcourse.identifiers import Sha256Hex


def hash_key(key: str) -> Sha256Hex:
    """Hash an API key or token as configuration and settings store it."""
    return Sha256Hex(hashlib.sha256(key.encode()).hexdigest())


def drop_none(value: Any) -> Any:
    """Remove ``None`` values, which TOML can't represent."""
    if isinstance(value, dict):
        return {
            key: drop_none(part)
            for key, part in value.items()
            if part is not None
        }
    if isinstance(value, (list, tuple)):
        return [drop_none(part) for part in value]
    return value


async def can_connect(host: str, port: int) -> bool:
    """Return whether a TCP connection to an address succeeds."""
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


async def read_status(session: aiohttp.ClientSession, url: str) -> int:
    """Return the HTTP status of a GET; zero if there is no answer."""
    try:
        async with session.get(url) as answer:
            return answer.status
    except (aiohttp.ClientError, TimeoutError):
        return 0
