"""HTTP routes of the stand-in table service."""

import msgspec
from aiohttp import web

from fakes.faults import Fault, Faults
from fakes.http_faults import answer_with_fault
from fakes.memory_table import MemoryRows
from ragwortcourse.storage.table import (
    Committed,
    ConditionalWrite,
    Row,
    TableKey,
)
from ragwortcourse.storage.table_messages import (
    CommitRefusal,
    CommitRequest,
    CommitVerdict,
    ReadAnswer,
    ReadRequest,
    WireRow,
)


def build_table_routes(
    *, rows: MemoryRows, faults: Faults, prefix: str = '/table'
) -> list[web.RouteDef]:
    """Build the routes that read and commit shared rows."""

    async def post_read(request: web.Request) -> web.StreamResponse:
        wanted = msgspec.json.decode(await request.read(), type=ReadRequest)
        row = rows.read(TableKey(wanted.key))
        body = msgspec.json.encode(ReadAnswer(row=_encode_row(row)))
        return await answer_with_fault(request, body, faults, faults.take())

    async def post_commit(request: web.Request) -> web.StreamResponse:
        wanted = msgspec.json.decode(await request.read(), type=CommitRequest)
        fault = faults.take()
        if fault in {Fault.REFUSED, Fault.DOWN}:
            refusal = CommitRefusal(refused=fault is Fault.REFUSED)
            body = msgspec.json.encode(refusal)
        else:
            body = msgspec.json.encode(_commit(rows, wanted))
        return await answer_with_fault(request, body, faults, fault)

    return [
        web.post(f'{prefix}/read', post_read),
        web.post(f'{prefix}/commit', post_commit),
    ]


def _commit(rows: MemoryRows, wanted: CommitRequest) -> CommitVerdict:
    outcome = rows.commit(
        tuple(
            ConditionalWrite(
                key=TableKey(write.key),
                content=write.content,
                expected_version=write.expected_version,
            )
            for write in wanted.writes
        )
    )
    if isinstance(outcome, Committed):
        return CommitVerdict(committed=True)
    return CommitVerdict(
        committed=False,
        keys=outcome.keys,
        rows=tuple(_encode_row(row) for row in outcome.rows),
    )


def _encode_row(row: Row | None) -> WireRow | None:
    if row is None:
        return None
    return WireRow(key=row.key, version=row.version, content=row.content)
