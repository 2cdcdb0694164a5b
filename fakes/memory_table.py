"""In-memory table service with fault switches for each client."""

from fakes.faults import Fault, Faults
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    CommitOutcome,
    Committed,
    CommitUnknown,
    ConditionalWrite,
    ConditionFailed,
    NotCommitted,
    ReadFailed,
    ReadOutcome,
    Row,
    RowRead,
    TableKey,
    TableService,
)


class MemoryRows:
    """Rows, with counts of reads and commits."""

    def __init__(self) -> None:
        self.rows: dict[TableKey, Row] = {}
        self.reads = 0
        self.commits = 0

    def read(self, key: TableKey) -> Row | None:
        """Read one row."""
        self.reads += 1
        return self.rows.get(key)

    def commit(
        self, writes: tuple[ConditionalWrite, ...]
    ) -> Committed | ConditionFailed:
        """Apply all writes, or none if a condition fails."""
        self.commits += 1
        failed = [write for write in writes if not self._holds(write)]
        if failed:
            keys = tuple(write.key for write in failed)
            return ConditionFailed(
                keys=keys, rows=tuple(self.rows.get(key) for key in keys)
            )
        for write in writes:
            self._apply(write)
        return Committed()

    def _holds(self, write: ConditionalWrite) -> bool:
        if write.expected_version is None:
            return True
        row = self.rows.get(write.key)
        version = ABSENT_VERSION if row is None else row.version
        return version == write.expected_version

    def _apply(self, write: ConditionalWrite) -> None:
        row = self.rows.get(write.key)
        if write.content is None:
            self.rows.pop(write.key, None)
            return
        self.rows[write.key] = Row(
            key=write.key,
            version=1 if row is None else row.version + 1,
            content=write.content,
        )


def build_memory_table(*, rows: MemoryRows, faults: Faults) -> TableService:
    """Build one client's port to shared rows, with its own faults."""

    async def read(key: TableKey) -> ReadOutcome:
        fault = faults.take()
        await faults.wait()
        if fault in {None, Fault.SLOW}:
            return RowRead(row=rows.read(key))
        return ReadFailed(detail=f'table service: {fault}')

    async def commit(writes: tuple[ConditionalWrite, ...]) -> CommitOutcome:
        fault = faults.take()
        if fault in {Fault.REFUSED, Fault.DOWN}:
            await faults.wait()
            return NotCommitted(detail=f'table service: {fault}')
        outcome = rows.commit(writes)
        await faults.wait()
        if fault in {None, Fault.SLOW}:
            return outcome
        return CommitUnknown(detail=f'table service: {fault}')

    return TableService(read=read, commit=commit)
