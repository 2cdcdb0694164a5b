"""Claims on idempotency keys, made by conditional writes to the table."""

import dataclasses
import hashlib
import logging
from typing import Final

import msgspec
from opentelemetry import metrics

from ragwortcourse.decoding import decode_json
from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.claim import Claim
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.header_text import encode_header
from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.messages.outcome import NotRun
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    Committed,
    CommitUnknown,
    ConditionalWrite,
    ConditionFailed,
    ReadFailed,
    Row,
    TableKey,
)
from ragwortcourse.unreadable import UnreadableError

COMMIT_TRIES: Final = 3
TABLE_RETRY_SECONDS: Final = 2.0
UNREADABLE: Final = 'its row can not be read'

LOGGER: Final = logging.getLogger(__name__)
_CLAIMS: Final = metrics.get_meter(__name__).create_counter(
    'entry.claims', description='Claims by their result.'
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimHeld:
    """Claim on the key, held by this daemon.

    :param version: version of the claim's row.
    """

    claim: Claim
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimFound:
    """Earlier claim on the key, still held or finished.

    :param version: version of the claim's row.
    """

    claim: Claim
    version: int


def build_claim_key(work: AdmittedCall) -> TableKey:
    """Build the row key for an idempotency key of a client account."""
    key = work.call.idempotency_key or ''
    digest = hashlib.sha256(encode_header(key)).hexdigest()
    return TableKey(f'claims/{work.account.name}/{digest}')


def digest_request(work: AdmittedCall) -> Sha256Hex:
    """Compute the digest of method, path and body.

    A different digest under the same idempotency key means that the key was
    used for another request.
    """
    digest = hashlib.sha256()
    for part in (work.call.method, work.call.path):
        digest.update(f'{part}\n'.encode())
    digest.update(work.call.body)
    return Sha256Hex(digest.hexdigest())


async def take_claim(
    entry: EntryState,
    work: AdmittedCall,
    claim: Claim,
    expected_version: int = ABSENT_VERSION,
) -> ClaimHeld | ClaimFound | NotRun:
    """Claim the key, or return the claim that is in its row.

    If the answer of the table service is lost, the same claim is written
    again. A row with this claim's token proves that an earlier write took
    effect.

    :param expected_version: version of the row of a claim to take over.
    """
    write = ConditionalWrite(
        key=build_claim_key(work),
        content=msgspec.json.encode(claim),
        expected_version=expected_version,
    )
    held = ClaimHeld(claim=claim, version=expected_version + 1)
    detail = ''
    for _ in range(COMMIT_TRIES):
        outcome = await entry.commit_claim(write)
        if isinstance(outcome, Committed):
            _CLAIMS.add(1, {'result': 'held'})
            return held
        if isinstance(outcome, ConditionFailed):
            return _judge_row(outcome.rows[0], held)
        detail = outcome.detail
        if not isinstance(outcome, CommitUnknown):
            break
    _CLAIMS.add(1, {'result': 'unavailable'})
    return refuse_without_table(detail)


def _judge_row(
    row: Row | None, held: ClaimHeld
) -> ClaimHeld | ClaimFound | NotRun:
    if row is None:
        return refuse_without_table('the row went away')
    claim = decode_claim(row)
    if claim is None:
        return refuse_without_table(UNREADABLE)
    if claim.token == held.claim.token:
        return ClaimHeld(claim=held.claim, version=row.version)
    _CLAIMS.add(1, {'result': 'found'})
    return ClaimFound(claim=claim, version=row.version)


async def read_claim(
    entry: EntryState, work: AdmittedCall
) -> ClaimFound | NotRun | None:
    """Read the claim on the key; none if the table has no row for the key."""
    outcome = await entry.table.read(build_claim_key(work))
    if isinstance(outcome, ReadFailed):
        return refuse_without_table(outcome.detail)
    if outcome.row is None:
        return None
    claim = decode_claim(outcome.row)
    if claim is None:
        return refuse_without_table(UNREADABLE)
    return ClaimFound(claim=claim, version=outcome.row.version)


def decode_claim(row: Row) -> Claim | None:
    """Decode the claim in a row; none for an odd row, which is logged.

    The work under its key may have run, so nothing more is sent for the key.
    """
    try:
        return decode_json(row.content, Claim)
    except UnreadableError as error:
        LOGGER.warning(
            'unreadable claim', extra={'row': row.key, 'detail': str(error)}
        )
        return None


def refuse_without_table(detail: str) -> NotRun:
    """Build the refusal of work whose claim could not be written."""
    return NotRun(
        code=errors.CLAIMS_UNAVAILABLE,
        detail=f'The key can not be claimed now, nothing was sent: {detail}.',
        retry_after=TABLE_RETRY_SECONDS,
    )
