"""Row of the table that lets work run at most once."""

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
    """What a claim says of its work.

    ``CLAIMED``: one of the named targets may run it or have run it.
    ``NOT_RUN``: proved not to have run; the key may be claimed anew.
    ``COMPLETED``: it ran to its end.
    """

    CLAIMED = 'claimed'
    NOT_RUN = 'not_run'
    COMPLETED = 'completed'


class ClaimedTarget(msgspec.Struct, frozen=True, kw_only=True):
    """A target to which the claim's work may be sent."""

    target: TargetName
    address: str


class KeptAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer, small enough to be given again."""

    status: int
    headers: dict[str, str]
    body: bytes
    version: VersionName | None = None


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """One claim on an idempotency key.

    :param token: start of the attempts' ids; unique to this claim.
    :param request: request that made the claim.
    :param body_sha256: digest of method, path and body.
    :param targets: every target it may be sent to, in order.
    :param claimed_at: seconds since the epoch, by the claimer's clock.
    :param takeovers: claims on this key before this one.
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
    """Id of the attempt at the claim's target of that number."""
    return AttemptId(f'{claim.token}-{number}')
