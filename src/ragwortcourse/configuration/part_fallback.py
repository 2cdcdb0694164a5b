"""Parts from the object store, where a peer lacks or spoils them."""

import asyncio
from typing import Final

from ragwortcourse.configuration.head import build_part_object_name
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.snapshot import digest_content
from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.messages.peer_port import DaemonPort, PeerUnavailable
from ragwortcourse.storage.objects import ObjectRead, ObjectStore

# Other peers are not asked for the generation meanwhile.
BACKUP_SECONDS: Final = 1.0


def build_daemons_with_fallback(
    *, port: DaemonPort, objects: ObjectStore, holder: ConfigurationHolder
) -> DaemonPort:
    """The daemons' port, with the object store behind it for parts.

    Agents hold no client accounts, so an entry daemon that learns of a
    generation from one finds these parts there only.

    :param holder: tells whether the platform answers.
    """

    async def fetch_part(
        address: str, digest: Sha256Hex
    ) -> bytes | PeerUnavailable:
        part = await port.fetch_part(address, digest)
        if isinstance(part, bytes) and digest_content(part) == digest:
            return part
        if not holder.table_reachable:
            return PeerUnavailable(detail=f'{address}: no part {digest}')
        return await _read_part(objects, digest)

    return DaemonPort(
        fetch_index=port.fetch_index,
        fetch_part=fetch_part,
        exchange=port.exchange,
    )


async def _read_part(
    objects: ObjectStore, digest: Sha256Hex
) -> bytes | PeerUnavailable:
    try:
        async with asyncio.timeout(BACKUP_SECONDS):
            outcome = await objects.read(build_part_object_name(digest))
    except TimeoutError:
        return PeerUnavailable(detail='the object store is slow')
    if isinstance(outcome, ObjectRead) and outcome.content is not None:
        return outcome.content
    return PeerUnavailable(detail=f'no part {digest} in the object store')
