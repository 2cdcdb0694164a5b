"""What happens when the table service shows an older head than is held."""

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
    """Write the generation in force back over an older head.

    An accepted generation never reverts: a head that went back means that
    the table service lost writes, for instance by an old copy of it.

    :param row: the older head as it was read; what is newer by now stays.
    """
    snapshot = holder.snapshot
    if snapshot is None:
        return
    LOGGER.error(
        'head of the configuration went back; writing it anew',
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
