"""Claims on idempotency keys, by conditional writes to the table."""

import dataclasses
import hashlib
from typing import Final

import msgspec
from opentelemetry import metrics

from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.claim import Claim
from ragwortcourse.entry.entry import EntryState
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

COMMIT_TRIES: Final = 3
TABLE_RETRY_SECONDS: Final = 2.0
_CLAIMS: Final = metrics.get_meter(__name__).create_counter(
    'entry.claims', description='Claims by their result.'
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimHeld:
    """The key is this daemon's.

    :param version: version of the row that says so.
    """

    claim: Claim
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimFound:
    """The key is another's, or was."""

    claim: Claim
    version: int


def build_claim_key(work: AdmittedCall) -> TableKey:
    """Key of the row for one idempotency key of a client account."""
    key = work.call.idempotency_key or ''
    digest = hashlib.sha256(key.encode()).hexdigest()
    return TableKey(f'claims/{work.account.name}/{digest}')


def digest_request(work: AdmittedCall) -> Sha256Hex:
    """Digest by which a resend of the same request is told from misuse."""
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
    """Claim the key, or show who has it.

    A lost answer is settled by writing the same claim again: a row that
    carries the own token took effect the first time.

    :param expected_version: version of a claim that is taken over.
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
    if claim.token == held.claim.token:
        return ClaimHeld(claim=held.claim, version=row.version)
    _CLAIMS.add(1, {'result': 'found'})
    return ClaimFound(claim=claim, version=row.version)


async def read_claim(
    entry: EntryState, work: AdmittedCall
) -> ClaimFound | NotRun | None:
    """Claim on the key as the table has it; none where there is none."""
    outcome = await entry.table.read(build_claim_key(work))
    if isinstance(outcome, ReadFailed):
        return refuse_without_table(outcome.detail)
    if outcome.row is None:
        return None
    return ClaimFound(
        claim=decode_claim(outcome.row), version=outcome.row.version
    )


def decode_claim(row: Row) -> Claim:
    """Claim in a row.

    :raises msgspec.ValidationError: where something else is in the row.
    """
    return msgspec.json.decode(row.content, type=Claim)


def refuse_without_table(detail: str) -> NotRun:
    """Refusal of work that can't be claimed now; nothing was sent."""
    return NotRun(
        code=errors.CLAIMS_UNAVAILABLE,
        detail=f'The key can not be claimed now, nothing was sent: {detail}.',
        retry_after=TABLE_RETRY_SECONDS,
    )
