"""An entry of the gate's queue."""

import asyncio
import dataclasses

from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.messages.outcome import NotRun


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class Waiter:
    """A ticket in the queue.

    :param verdict: resolves to none once the permit is granted, else to the
        refusal.
    """

    ticket: Ticket
    verdict: asyncio.Future[NotRun | None]
