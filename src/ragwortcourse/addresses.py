"""Addresses of processes: ``ip:port``, with brackets around an IPv6 address."""

import ipaddress
import re
from typing import Final

from ragwortcourse.identifiers import Address
from ragwortcourse.unreadable import UnreadableError

MAX_PORT: Final = 65_535
# Characters of an odd text in the log.
SHOWN: Final = 60
PATTERN: Final = re.compile(
    r'(?:\[(?P<six>[\da-f:.]+)\]|(?P<four>[\d.]+)):(?P<port>\d{1,5})',
    flags=re.ASCII | re.IGNORECASE,
)


def parse_address(text: str) -> Address:
    """Check an address that another process named.

    :raises UnreadableError: nothing can be called there.
    """
    if not is_address(text):
        raise UnreadableError(f'no address: {text[:SHOWN]!r}')
    return Address(text)


def is_address(text: str) -> bool:
    """Tell whether a text is an address."""
    found = PATTERN.fullmatch(text)
    if found is None:
        return False
    try:
        if found['six'] is None:
            ipaddress.IPv4Address(found['four'])
        else:
            ipaddress.IPv6Address(found['six'])
    except ValueError:
        return False
    return 1 <= int(found['port']) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Split an address into IP, without brackets, and port."""
    host, _, port = address.rpartition(':')
    return host.removeprefix('[').removesuffix(']'), int(port)
