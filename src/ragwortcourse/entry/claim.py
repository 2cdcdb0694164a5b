"""Claim: table row that makes work with an idempotency key run once at most."""

import enum

import msgspec

from ragwortcourse.identifiers import (
    AttemptId,
    RequestId,
    Sha256Hex,
    TargetName,
    VersionName,
)


class ClaimState(enum.StrEnum):
    """State of the claimed work.

    ``CLAIMED``: one of the claim's targets may run the work or have run it.
    ``NOT_RUN``: the work provably did not run; the key may be claimed again.
    ``COMPLETED``: the work ran to its end.
    """

    CLAIMED = 'claimed'
    NOT_RUN = 'not_run'
    COMPLETED = 'completed'


class ClaimedTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Target to which the claimed work may be sent."""

    target: TargetName
    address: str


class KeptAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Complete answer, small enough to be stored and replayed to a resend."""

    status: int
    headers: dict[str, str]
    body: bytes
    version: VersionName | None = None


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """One claim on an idempotency key.

    :param token: unique to this claim; prefix of its attempt ids.
    :param request: request that made the claim.
    :param body_sha256: digest of method, path and body.
    :param targets: all targets to which the work may be sent, in order.
    :param claimed_at: seconds since the epoch, by the claiming daemon's
        clock.
    :param takeovers: number of earlier claims on this key.
    :param answer: stored answer; none if it was too large or there is none.
    """

    token: str
    request: RequestId
    body_sha256: Sha256Hex
    targets: tuple[ClaimedTarget, ...]
    claimed_at: float
    state: ClaimState = ClaimState.CLAIMED
    takeovers: int = 0
    answer: KeptAnswer | None = None


def build_attempt_id(claim: Claim, number: int) -> AttemptId:
    """Build the id of the attempt at the claim's target with this index."""
    return AttemptId(f'{claim.token}-{number}')
