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
    """Write or delete a row if its version is still the one that was read.

    :param row: row as read; None if the key was absent.
    :param content: new content; None deletes the row.
    """
    write = ConditionalWrite(
        key=key,
        content=content,
        expected_version=ABSENT_VERSION if row is None else row.version,
    )
    return await table.commit((write,))
