"""Assembly of a generation from its index and its parts."""

import asyncio
from collections.abc import Awaitable, Callable

from opentelemetry import metrics

from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.snapshot import (
    ConfigurationSnapshot,
    assemble_snapshot,
    digest_content,
    list_parts,
    read_index,
)
from ragwortcourse.identifiers import Sha256Hex

METER = metrics.get_meter(__name__)
PARTS_FETCHED = METER.create_counter(
    'ragwortcourse.configuration.parts_fetched'
)
PARTS_MISSING = METER.create_counter(
    'ragwortcourse.configuration.parts_lacking'
)

# Returns the bytes of a part; none where the part is not available.
ReadPart = Callable[[Sha256Hex], Awaitable[bytes | None]]


async def fetch_snapshot(
    holder: ConfigurationHolder, content: bytes, read_part: ReadPart
) -> ConfigurationSnapshot | None:
    """Assemble the generation that an index describes.

    Parts that the generation in force has in common are not read again.

    :param content: bytes of the index.
    :param read_part: reads a part by its digest; the digest is checked here.
    :return: none where the index is malformed, or a part is missing or does
        not match its digest.
    """
    index = read_index(content)
    if index is None:
        return None
    wanted = list_parts(index, with_accounts=holder.with_accounts)
    held = holder.snapshot.contents if holder.snapshot else {}
    parts = {one: held[one] for one in wanted if one in held}
    missing = tuple(one for one in dict.fromkeys(wanted) if one not in parts)
    read = await asyncio.gather(*(read_part(one) for one in missing))
    for digest, found in zip(missing, read, strict=True):
        PARTS_FETCHED.add(1)
        if found is None or digest_content(found) != digest:
            PARTS_MISSING.add(1)
            return None
        parts[digest] = found
    return assemble_snapshot(content, parts, with_accounts=holder.with_accounts)
