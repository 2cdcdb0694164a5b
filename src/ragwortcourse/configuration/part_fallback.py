"""Fallback to the object store for parts that a peer cannot provide."""

import asyncio
from typing import Final

from ragwortcourse.configuration.head import build_part_object_name
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.snapshot import digest_content
from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.messages.peer_port import DaemonPort, PeerUnavailable
from ragwortcourse.storage.objects import ObjectRead, ObjectStore

# Kept short: other peers are not asked for the generation meanwhile.
FALLBACK_TIMEOUT_SECONDS: Final = 1.0


def build_daemons_with_fallback(
    *, port: DaemonPort, objects: ObjectStore, holder: ConfigurationHolder
) -> DaemonPort:
    """Build a daemon port that reads parts from the object store as fallback.

    The fallback applies where the peer does not provide the part, or sends
    bytes that do not match the digest. Agents hold no client accounts, so an
    entry daemon that learns of a generation from an agent finds the parts
    with client accounts in the object store only.

    :param port: port to the peers.
    :param holder: tells whether the platform answers; if not, there is no
        fallback.
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
        async with asyncio.timeout(FALLBACK_TIMEOUT_SECONDS):
            outcome = await objects.read(build_part_object_name(digest))
    except TimeoutError:
        return PeerUnavailable(detail='the object store is slow')
    if isinstance(outcome, ObjectRead) and outcome.content is not None:
        return outcome.content
    return PeerUnavailable(detail=f'no part {digest} in the object store')
