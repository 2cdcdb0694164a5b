"""How a daemon comes to hold newer generations."""

import asyncio
import logging
import random
from typing import Final

from opentelemetry import metrics

from ragwortcourse.configuration.gathering import fetch_snapshot
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.restoration import restore_head
from ragwortcourse.configuration.snapshot import ConfigurationSnapshot
from ragwortcourse.configuration.store import (
    ConfigurationStore,
    HeadRow,
    StoreFailed,
    read_head,
    read_snapshot,
)
from ragwortcourse.identifiers import Generation, Sha256Hex
from ragwortcourse.messages.peer_port import DaemonPort, PeerUnavailable
from ragwortcourse.storage.objects import ObjectStore
from ragwortcourse.storage.table import TableService

LOGGER = logging.getLogger(__name__)
METER = metrics.get_meter(__name__)
POLLS = METER.create_counter('ragwortcourse.configuration.polls')
POLLS_FAILED = METER.create_counter('ragwortcourse.configuration.polls_failed')
TAKEN = METER.create_counter('ragwortcourse.configuration.taken')

POLL_PERIOD_SECONDS: Final = 1.0
# Share of the period by which a poll is moved, so that daemons spread out.
POLL_JITTER: Final = 0.2
LEARN_WAIT_SECONDS: Final = 2.0


async def follow_head(
    *,
    holder: ConfigurationHolder,
    table: TableService,
    objects: ObjectStore,
    rng: random.Random,
) -> None:
    """Keep the newest generation of the platform in force, forever."""
    store = ConfigurationStore(table=table, objects=objects)
    while True:
        await poll_head(holder, store)
        jitter = rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
        await asyncio.sleep(POLL_PERIOD_SECONDS * jitter)


async def poll_head(
    holder: ConfigurationHolder, store: ConfigurationStore
) -> None:
    """Look at the head once and take what is newer there."""
    POLLS.add(1)
    row = await read_head(store)
    if isinstance(row, StoreFailed):
        _note_failure(holder, row)
        return
    if not holder.table_reachable:
        LOGGER.info('table service answers again')
    holder.table_reachable = True
    if row.head is not None and row.head.generation > holder.generation:
        await _take_head(holder, store, row)
        return
    if row.head is None or row.head.generation < holder.generation:
        await restore_head(holder, store, row)


async def fetch_from_peer(
    *,
    holder: ConfigurationHolder,
    port: DaemonPort,
    sender: str,
    generation: Generation,
) -> bool:
    """Hold a generation that another daemon says is in force there.

    :param sender: ``ip:port`` at which its documents can be had.
    :return: true once that generation, or a newer one, is in force here.
    """
    if generation <= holder.generation:
        return True
    if generation in holder.generations_in_fetch:
        await _wait_for_generation(holder, generation)
        return generation <= holder.generation
    holder.generations_in_fetch.add(generation)
    try:
        snapshot = await _fetch_snapshot(holder, port, sender, generation)
    finally:
        holder.generations_in_fetch.discard(generation)
    if snapshot is not None and holder.update_if_newer(
        snapshot.document, snapshot
    ):
        TAKEN.add(1, {'from': 'peer'})
    return generation <= holder.generation


async def _fetch_snapshot(
    holder: ConfigurationHolder,
    port: DaemonPort,
    sender: str,
    generation: Generation,
) -> ConfigurationSnapshot | None:
    async def read_part(digest: Sha256Hex) -> bytes | None:
        part = await port.fetch_part(sender, digest)
        return None if isinstance(part, PeerUnavailable) else part

    content = await port.fetch_index(sender, generation)
    if isinstance(content, PeerUnavailable):
        return None
    return await fetch_snapshot(holder, content, read_part)


async def _wait_for_generation(
    holder: ConfigurationHolder, generation: Generation
) -> None:
    try:
        async with asyncio.timeout(LEARN_WAIT_SECONDS):
            while holder.generation < generation:
                await holder.wait_for_change()
    except TimeoutError:
        return


async def _take_head(
    holder: ConfigurationHolder, store: ConfigurationStore, row: HeadRow
) -> None:
    if row.head is None:
        return
    snapshot = await read_snapshot(holder, store, row.head)
    if isinstance(snapshot, StoreFailed):
        _note_failure(holder, snapshot)
        return
    if holder.update_if_newer(snapshot.document, snapshot):
        TAKEN.add(1, {'from': 'platform'})


def _note_failure(holder: ConfigurationHolder, failed: StoreFailed) -> None:
    POLLS_FAILED.add(1)
    if holder.table_reachable:
        LOGGER.warning(
            'configuration can not be read from the platform',
            extra={'detail': failed.detail, 'generation': holder.generation},
        )
    holder.table_reachable = False
