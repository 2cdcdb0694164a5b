"""Changes to a single row of the table service."""

from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    CommitOutcome,
    ConditionalWrite,
    Row,
    TableKey,
    TableService,
)


async def replace_row(
    table: TableService, key: TableKey, row: Row | None, content: bytes | None
) -> CommitOutcome:
    """Write a row, if it still is as it was read.

    :param row: as it was read; none where it was absent.
    :param content: none deletes the row.
    """
    write = ConditionalWrite(
        key=key,
        content=content,
        expected_version=ABSENT_VERSION if row is None else row.version,
    )
    return await table.commit((write,))
