"""HTTP client for the platform's list of hosts."""

import dataclasses
import logging
from collections.abc import Iterator
from typing import Final

import aiohttp
import msgspec

from ragwortcourse.addresses import parse_address
from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.decoding import decode_json
from ragwortcourse.membership.hosts import (
    HostListPort,
    HostRecord,
    HostsListed,
    HostsUnavailable,
)
from ragwortcourse.nesting import trim_nesting
from ragwortcourse.unreadable import UnreadableError

HOSTS_TIMEOUT_SECONDS: Final = 5.0
HOSTS_TIMEOUT: Final = aiohttp.ClientTimeout(total=HOSTS_TIMEOUT_SECONDS)
OK: Final = 200
NOT_MODIFIED: Final = 304
# Levels of a list down to the parts of its entries.
ENTRY_LEVELS: Final = 2
HOSTS_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    UnreadableError,
)

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class _LastList:
    """The list as last read, with its entity tag."""

    etag: str = ''
    listed: HostsListed


def build_http_hosts(
    *, session: aiohttp.ClientSession, base_url: str
) -> HostListPort:
    """Build a port that reads the list with conditional requests.

    The answer has no body while the list is unchanged.
    """
    last = _LastList(listed=HostsListed(records=()))

    async def fetch() -> HostsListed | HostsUnavailable:
        async with session.get(
            base_url,
            headers={'if-none-match': last.etag} if last.etag else {},
            timeout=HOSTS_TIMEOUT,
        ) as response:
            if response.status == NOT_MODIFIED:
                return last.listed
            if response.status != OK:
                return HostsUnavailable(detail=f'status {response.status}')
            body = await read_body(response, limit=LARGE_BODY_BYTES)
            return decode(body, response.headers.get('etag', ''))

    def decode(body: bytes, etag: str) -> HostsListed:
        last.listed = HostsListed(records=_decode_hosts(body))
        last.etag = etag
        return last.listed

    async def read() -> HostsListed | HostsUnavailable:
        try:
            return await fetch()
        except HOSTS_ERRORS as error:
            return HostsUnavailable(detail=f'{base_url}: {error!r}')

    return HostListPort(read=read)


def _decode_hosts(body: bytes) -> tuple[HostRecord, ...]:
    """Decode a list; odd entries are logged and left out.

    :raises UnreadableError: the body is no list.
    """
    try:
        entries = decode_json(body, tuple[msgspec.Raw, ...])
    except UnreadableError:
        trimmed = trim_nesting(body, ENTRY_LEVELS)
        entries = decode_json(trimmed, tuple[msgspec.Raw, ...])
    return tuple(_read_sound(entries))


def _read_sound(entries: tuple[msgspec.Raw, ...]) -> Iterator[HostRecord]:
    for entry in entries:
        try:
            record = decode_json(bytes(entry), HostRecord)
            parse_address(record.address)
        except UnreadableError as error:
            LOGGER.warning(
                'odd entry in the list of hosts', extra={'detail': str(error)}
            )
        else:
            yield record
