"""HTTP adapter for the table service."""

from typing import Final

import aiohttp
import msgspec

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.decoding import decode_json
from ragwortcourse.storage.table import (
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
from ragwortcourse.storage.table_messages import (
    CommitRefusal,
    CommitRequest,
    CommitVerdict,
    ReadAnswer,
    ReadRequest,
    WireRow,
    WireWrite,
)
from ragwortcourse.unreadable import UnreadableError

TABLE_TIMEOUT_SECONDS: Final = 2.0
TABLE_TIMEOUT: Final = aiohttp.ClientTimeout(total=TABLE_TIMEOUT_SECONDS)
OK: Final = 200
UNAVAILABLE: Final = 503


def build_http_table(
    *, session: aiohttp.ClientSession, base_url: str
) -> TableService:
    """Build the port to a table service.

    :param base_url: URL such as ``http://10.0.0.1:80/t``.
    """

    async def post(path: str, body: bytes) -> tuple[int, bytes]:
        async with session.post(
            f'{base_url}{path}', data=body, timeout=TABLE_TIMEOUT
        ) as response:
            return response.status, await read_body(
                response, limit=LARGE_BODY_BYTES
            )

    async def read(key: TableKey) -> ReadOutcome:
        request = msgspec.json.encode(ReadRequest(key=key))
        try:
            status, body = await post('/read', request)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return ReadFailed(detail=f'{base_url}: {error!r}')
        return _decode_read(key, status, body)

    async def commit(writes: tuple[ConditionalWrite, ...]) -> CommitOutcome:
        request = msgspec.json.encode(_encode_writes(writes))
        try:
            status, body = await post('/commit', request)
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            return NotCommitted(detail=f'{base_url}: {error!r}')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return CommitUnknown(detail=f'{base_url}: {error!r}')
        return _decode_commit(status, body)

    return TableService(read=read, commit=commit)


def _encode_writes(writes: tuple[ConditionalWrite, ...]) -> CommitRequest:
    return CommitRequest(
        writes=tuple(
            WireWrite(
                key=write.key,
                content=write.content,
                expected_version=write.expected_version,
            )
            for write in writes
        )
    )


def _decode_read(key: TableKey, status: int, body: bytes) -> ReadOutcome:
    if status != OK:
        return ReadFailed(detail=f'status {status} on reading {key}')
    try:
        answer = decode_json(body, ReadAnswer)
    except UnreadableError as error:
        return ReadFailed(detail=f'unreadable answer on reading {key}: {error}')
    row = _decode_row(answer.row)
    if row is not None and row.key != key:
        return ReadFailed(detail=f'row {row.key} in answer to {key}')
    return RowRead(row=row)


def _decode_row(row: WireRow | None) -> Row | None:
    if row is None:
        return None
    return Row(key=TableKey(row.key), version=row.version, content=row.content)


def _decode_commit(status: int, body: bytes) -> CommitOutcome:
    try:
        return _decode_verdict(status, body)
    except UnreadableError as error:
        return CommitUnknown(detail=f'unreadable answer {status}: {error}')


def _decode_verdict(status: int, body: bytes) -> CommitOutcome:
    if status == UNAVAILABLE:
        refusal = decode_json(body, CommitRefusal)
        if refusal.refused:
            return NotCommitted(detail=refusal.detail)
    if status != OK:
        return CommitUnknown(detail=f'status {status} on commit')
    verdict = decode_json(body, CommitVerdict)
    if verdict.committed:
        return Committed()
    return ConditionFailed(
        rows=tuple(_decode_row(row) for row in verdict.rows),
        keys=tuple(TableKey(key) for key in verdict.keys),
    )
