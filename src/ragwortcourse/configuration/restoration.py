"""Repair of a head that is older than the generation in force."""

import logging

import msgspec
from opentelemetry import metrics

from ragwortcourse.configuration.head import HEAD_KEY
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.store import (
    ConfigurationStore,
    HeadRow,
    StoreFailed,
    write_snapshot,
)
from ragwortcourse.storage.table import Committed, ConditionalWrite

LOGGER = logging.getLogger(__name__)
METER = metrics.get_meter(__name__)
RESTORED = METER.create_counter('ragwortcourse.configuration.heads_restored')


async def restore_head(
    holder: ConfigurationHolder, store: ConfigurationStore, row: HeadRow
) -> None:
    """Replace an older head with the generation in force.

    Committed generations never revert. An older head means that the table
    service lost writes, for instance because it was restored from a backup.

    :param row: older head as it was read; the compare-and-set leaves a head
        that was written since then.
    """
    snapshot = holder.snapshot
    if snapshot is None:
        return
    LOGGER.error(
        'older configuration head found; writing the generation in force',
        extra={
            'generation': snapshot.document.generation,
            'found': row.head.generation if row.head else 0,
        },
    )
    head = await write_snapshot(store, snapshot, frozenset())
    if isinstance(head, StoreFailed):
        return
    outcome = await store.table.commit(
        (
            ConditionalWrite(
                key=HEAD_KEY,
                content=msgspec.json.encode(head),
                expected_version=row.row_version,
            ),
        )
    )
    if isinstance(outcome, Committed):
        RESTORED.add(1)
