"""Putting a generation together from its index and its parts."""

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
FETCHED = METER.create_counter('ragwortcourse.configuration.parts_fetched')
LACKING = METER.create_counter('ragwortcourse.configuration.parts_lacking')

# Bytes of a part, if they can be had.
ReadPart = Callable[[Sha256Hex], Awaitable[bytes | None]]


async def fetch_snapshot(
    holder: ConfigurationHolder, content: bytes, read_part: ReadPart
) -> ConfigurationSnapshot | None:
    """The generation of an index; none where a part can't be had whole.

    Parts that are in force here already are not read again.

    :param content: bytes of the index.
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
        FETCHED.add(1)
        if found is None or digest_content(found) != digest:
            LACKING.add(1)
            return None
        parts[digest] = found
    return assemble_snapshot(content, parts, with_accounts=holder.with_accounts)
