"""Small checks and conversions that starting processes needs."""

import asyncio
import hashlib
from typing import Any

import aiohttp

from ragwortcourse.identifiers import Sha256Hex


def digest_key(key: str) -> Sha256Hex:
    """SHA-256 of an API key or token, as configuration and settings hold it."""
    return Sha256Hex(hashlib.sha256(key.encode()).hexdigest())


def drop_none(value: Any) -> Any:
    """The same value without the absent parts, which TOML can't write."""
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
    """Whether somebody listens there."""
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


async def read_status(session: aiohttp.ClientSession, url: str) -> int:
    """HTTP status of a GET, zero where nobody answers."""
    try:
        async with session.get(url) as answer:
            return answer.status
    except (aiohttp.ClientError, TimeoutError):
        return 0
