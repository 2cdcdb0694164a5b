"""Asks agents about attempts and bars attempts that have not started.

A barred attempt that reaches its agent later is refused.
"""

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
    """Fetch an agent's report on one attempt, and bar it if it never started.

    A report after ``BAR_TIMEOUT_SECONDS`` is not accepted.

    :param age: seconds since the earliest time at which the attempt can have
        been sent.
    """
    try:
        async with asyncio.timeout(BAR_TIMEOUT_SECONDS):
            return await entry.agent_port.bar(address, attempt, age)
    except TimeoutError:
        return PeerUnavailable(detail='no report in time')
