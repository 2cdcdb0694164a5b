"""A piece of work that waits at the gate."""

import asyncio
import dataclasses

from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.messages.outcome import NotRun


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class Waiter:
    """One place in the queue.

    :param verdict: none once the work may start, else its refusal.
    """

    ticket: Ticket
    verdict: asyncio.Future[NotRun | None]
