"""Routing of claim writes to the batching daemon of a failure domain.

Rendezvous hashing picks the batching daemon among the entry daemons of the
failure domain. The batching daemon keeps no state. Other daemons bypass it
for ``BATCHER_BACKOFF_SECONDS`` after it did not answer.
"""

import hashlib
from collections.abc import Awaitable, Callable, Sequence
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.clock import read_clock
from ragwortcourse.decoding import decode_json
from ragwortcourse.entry.claim_batcher import ClaimBatcher
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.ingress.request_guard import read_request_body
from ragwortcourse.membership.hosts import HostRecord, HostState
from ragwortcourse.messages.claim_write import (
    ClaimWrite,
    ClaimWriteReport,
    ClaimWriteState,
)
from ragwortcourse.storage.table import (
    CommitOutcome,
    Committed,
    CommitUnknown,
    ConditionalWrite,
    ConditionFailed,
    NotCommitted,
    Row,
    TableKey,
)
from ragwortcourse.unreadable import UnreadableError

BATCHER_TIMEOUT_SECONDS: Final = 0.25
BATCHER_BACKOFF_SECONDS: Final = 10.0
_TIMEOUT: Final = ClientTimeout(total=BATCHER_TIMEOUT_SECONDS)
_FAILURES: Final = (
    ClientError,
    TimeoutError,
    OSError,
    UnreadableError,
)

SendToBatcher = Callable[[str, ConditionalWrite], Awaitable[CommitOutcome]]


def rank_batcher(domain: FailureDomainName, daemon: DaemonId) -> bytes:
    """Compute a daemon's rank; the highest in a failure domain batches."""
    return hashlib.sha256(f'{domain}/{daemon}'.encode()).digest()


class ClaimBatchRouter:
    """Sends claim writes to the batching daemon, or batches them locally.

    :param batcher: local batcher.
    :param list_peers: lists all other known entry daemons.
    :param send: sends a write to a batching daemon by its ``ip:port``.
    """

    def __init__(
        self,
        *,
        daemon: DaemonId,
        failure_domain: FailureDomainName,
        batcher: ClaimBatcher,
        list_peers: Callable[[], Sequence[HostRecord]],
        send: SendToBatcher,
    ) -> None:
        self.batcher = batcher
        self._daemon = daemon
        self._failure_domain = failure_domain
        self._list_peers = list_peers
        self._send = send
        self._silent_until: dict[str, float] = {}

    async def commit(self, write: ConditionalWrite) -> CommitOutcome:
        """Write one claim through the batching daemon.

        If the batching daemon does not answer, this daemon sends the same
        write to the table service itself. If the first write took effect,
        the token in the row shows it.
        """
        batcher_address = self.find_batcher_address()
        if batcher_address is not None:
            outcome = await self._send(batcher_address, write)
            if isinstance(outcome, Committed | ConditionFailed):
                return outcome
            if isinstance(outcome, CommitUnknown):
                self._silent_until[batcher_address] = (
                    read_clock() + BATCHER_BACKOFF_SECONDS
                )
        return await self.batcher.commit(write)

    def find_batcher_address(self) -> str | None:
        """Return the batching daemon's address; none for this daemon itself."""
        own = rank_batcher(self._failure_domain, self._daemon)
        ranked = {
            rank_batcher(self._failure_domain, peer.daemon): peer.address
            for peer in self._list_peers()
            if self._is_eligible(peer)
        }
        best = max(ranked, default=own)
        return ranked[best] if best > own else None

    def _is_eligible(self, peer: HostRecord) -> bool:
        if peer.failure_domain != self._failure_domain:
            return False
        if peer.state is HostState.LEAVING:
            return False
        return self._silent_until.get(peer.address, 0) <= read_clock()


def build_http_batcher_client(*, session: ClientSession) -> SendToBatcher:
    """Build the HTTP client of batching daemons.

    The outcome is unknown if the answer is missing or incomplete.
    """

    async def send(address: str, write: ConditionalWrite) -> CommitOutcome:
        message = ClaimWrite(
            key=write.key,
            content=write.content or b'',
            expected_version=write.expected_version or 0,
        )
        try:
            async with session.post(
                f'http://{address}/claims',
                data=msgspec.json.encode(message),
                timeout=_TIMEOUT,
            ) as answer:
                raw = await read_body(answer, limit=LARGE_BODY_BYTES)
            report = decode_json(raw, ClaimWriteReport)
        except _FAILURES as error:
            return CommitUnknown(detail=f'{address}: {error!r}')
        return convert_claim_report(write.key, report)

    return send


def convert_claim_report(
    key: TableKey, report: ClaimWriteReport
) -> CommitOutcome:
    """Convert a batching daemon's report to a table service outcome."""
    if report.state is ClaimWriteState.COMMITTED:
        return Committed()
    if report.state is ClaimWriteState.NOT_COMMITTED:
        return NotCommitted(detail=report.detail)
    if report.state is ClaimWriteState.UNKNOWN:
        return CommitUnknown(detail=report.detail)
    row = None
    if report.version:
        row = Row(key=key, version=report.version, content=report.content)
    return ConditionFailed(rows=(row,), keys=(key,))


def build_claim_report(outcome: CommitOutcome) -> ClaimWriteReport:
    """Convert a table service outcome to a report."""
    if isinstance(outcome, Committed):
        return ClaimWriteReport(state=ClaimWriteState.COMMITTED)
    if isinstance(outcome, NotCommitted):
        return ClaimWriteReport(
            state=ClaimWriteState.NOT_COMMITTED, detail=outcome.detail
        )
    if isinstance(outcome, CommitUnknown):
        return ClaimWriteReport(
            state=ClaimWriteState.UNKNOWN, detail=outcome.detail
        )
    row = outcome.rows[0]
    if row is None:
        return ClaimWriteReport(state=ClaimWriteState.CONDITION_FAILED)
    return ClaimWriteReport(
        state=ClaimWriteState.CONDITION_FAILED,
        version=row.version,
        content=row.content,
    )


def build_claim_routes(*, batcher: ClaimBatcher) -> list[web.RouteDef]:
    """Build the peer port's routes that accept claims of other daemons."""

    async def collect(request: web.Request) -> web.Response:
        try:
            message = decode_json(await read_request_body(request), ClaimWrite)
        except UnreadableError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        outcome = await batcher.commit(
            ConditionalWrite(
                key=TableKey(message.key),
                content=message.content,
                expected_version=message.expected_version,
            )
        )
        return web.Response(
            body=msgspec.json.encode(build_claim_report(outcome)),
            content_type='application/json',
        )

    return [web.post('/claims', collect)]
