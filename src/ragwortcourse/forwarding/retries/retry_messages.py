"""Messages by which entry daemons lend each other retries."""

from typing import Annotated

from msgspec import Meta, Struct

from ragwortcourse.bounded import MAX_COUNT
from ragwortcourse.identifiers import AskId

# Shares of large fleets are smaller than one retry.
RetryAmount = Annotated[float, Meta(ge=0, le=MAX_COUNT)]


class RetryAsk(Struct, frozen=True, kw_only=True, array_like=True):
    """Wish of one daemon for retries of another.

    :param ask: unique among all daemons and their restarts.
    """

    ask: AskId
    amount: RetryAmount


class RetryGrant(Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to a wish; the amount may be zero."""

    ask: AskId
    amount: RetryAmount


class RetryMessage(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Wish of the sender and its answers to wishes of the receiver."""

    ask: RetryAsk | None = None
    grants: tuple[RetryGrant, ...] = ()
