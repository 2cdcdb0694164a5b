"""HTTP client for the platform's list of hosts."""

import dataclasses
from typing import Final

import aiohttp
import msgspec

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.membership.hosts import (
    HostListPort,
    HostRecord,
    HostsListed,
    HostsUnavailable,
)

HOSTS_TIMEOUT_SECONDS: Final = 5.0
HOSTS_TIMEOUT: Final = aiohttp.ClientTimeout(total=HOSTS_TIMEOUT_SECONDS)
OK: Final = 200
NOT_MODIFIED: Final = 304
HOSTS_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    msgspec.MsgspecError,
)


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
        hosts = msgspec.json.decode(body, type=tuple[HostRecord, ...])
        last.listed = HostsListed(records=hosts)
        last.etag = etag
        return last.listed

    async def read() -> HostsListed | HostsUnavailable:
        try:
            return await fetch()
        except HOSTS_ERRORS as error:
            return HostsUnavailable(detail=f'{base_url}: {error!r}')

    return HostListPort(read=read)
