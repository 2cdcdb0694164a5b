"""What happens when the table service shows an older head than is held."""

import logging

import msgspec
from opentelemetry import metrics

from ragwortcourse.configuration.head import (
    HEAD_KEY,
    Head,
    digest_content,
    encode_document,
    name_document,
)
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.store import ConfigurationStore, HeadRow
from ragwortcourse.platform.objects import ObjectWritten
from ragwortcourse.platform.table import Committed, ConditionalWrite

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
    document = holder.document
    if document is None:
        return
    LOGGER.error(
        'head of the configuration went back; writing it anew',
        extra={
            'generation': document.generation,
            'found': row.head.generation if row.head else 0,
        },
    )
    content = encode_document(document)
    head = Head(generation=document.generation, sha256=digest_content(content))
    written = await store.objects.write(name_document(head), content)
    if not isinstance(written, ObjectWritten):
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
