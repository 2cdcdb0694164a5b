"""Encoding of what a daemon tells all others some times a second."""

import math
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.balancing.pace_news import encode_news
from ragwortcourse.forwarding.balancing.token_exchange import list_excess
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_messages import (
    LoadMessage,
    VersionAnnouncement,
    VersionHistoryMessage,
)
from ragwortcourse.forwarding.named_weights import (
    AnnouncedVersion,
    VersionHistory,
    list_unexpired,
)
from ragwortcourse.forwarding.retries.retry_messages import RetryMessage

# Messages repeat the paces of the last message, which may be lost or late.
NEAR_NEWS_SECONDS: Final = 0.2
FAR_NEWS_SECONDS: Final = 0.5


def encode_load(
    forwarder: Forwarder, *, is_far: bool, retry: RetryMessage | None = None
) -> bytes:
    """Encode the message about the own requests.

    :param is_far: true for a message to all failure domains.
    :param retry: for a message to a daemon that it is for.
    """
    message = LoadMessage(
        daemon=forwarder.settings.daemon,
        counts=forwarder.count_running(),
        namings=_encode_history(forwarder) if is_far else None,
        store_lost=forwarder.state.store_lost,
        stable_for=forwarder.store_watch.read_seconds_since_outage(),
        state=forwarder.state.version,
        paces=encode_news(
            forwarder.balancing.paces,
            now=read_clock(),
            seconds=FAR_NEWS_SECONDS if is_far else NEAR_NEWS_SECONDS,
        ),
        demand=forwarder.scheduling.describe_demand(),
        urgent=forwarder.scheduling.unanswered.own,
        retry=retry,
        excess=list_excess(forwarder),
    )
    return msgspec.json.encode(message)


def _encode_history(forwarder: Forwarder) -> VersionHistoryMessage:
    state, now = forwarder.state, read_clock_with_suspend()
    bound = forwarder.fleet.version_ms / 1000
    age = now - state.versions_complete_since
    return VersionHistoryMessage(
        versions={
            model: [
                VersionAnnouncement(
                    version=each.version,
                    age=round(now - each.seen_at, 2),
                    observed=each.observed,
                )
                for each in list_unexpired(versions, now=now, bound=bound)
            ]
            for model, versions in state.weights.items()
        },
        complete_for=None if math.isinf(age) else round(age, 2),
    )


def decode_history(namings: VersionHistoryMessage) -> VersionHistory:
    """Decode the versions of models as known to another daemon."""
    now = read_clock_with_suspend()
    age = namings.complete_for
    return VersionHistory(
        versions={
            model: [
                AnnouncedVersion(
                    version=each.version,
                    seen_at=now - each.age,
                    observed=each.observed,
                )
                for each in versions
            ]
            for model, versions in namings.versions.items()
        },
        since=math.inf if age is None else now - age,
    )
