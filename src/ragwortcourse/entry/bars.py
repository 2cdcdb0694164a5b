"""Questions to agents about attempts, which bar what never started."""

import asyncio

from ragwortcourse.entry.entry import EntryState
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.messages.attempt_report import AttemptReport
from ragwortcourse.messages.peer_port import (
    BAR_TIMEOUT_SECONDS,
    PeerUnavailable,
)


async def bar_attempt(
    entry: EntryState, address: str, attempt: AttemptId, age: float
) -> AttemptReport | PeerUnavailable:
    """Report of an agent on one attempt; late reports don't count.

    :param age: seconds since the attempt can first have been sent.
    """
    try:
        async with asyncio.timeout(BAR_TIMEOUT_SECONDS):
            return await entry.agent_port.bar(address, attempt, age)
    except TimeoutError:
        return PeerUnavailable(detail='no report in time')
