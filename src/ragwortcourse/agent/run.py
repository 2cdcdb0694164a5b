"""An attempt that holds a permit."""

from ragwortcourse.agent.agent import Agent
from ragwortcourse.agent.attempt_record import AttemptRecord
from ragwortcourse.agent.crash_check import check_for_crash
from ragwortcourse.agent.suspects import InFlightAttempt
from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    EngineAnswer,
    EngineRequest,
)
from ragwortcourse.messages import headers as names
from ragwortcourse.messages.attempt import Attempt
from ragwortcourse.messages.attempt_report import AttemptState
from ragwortcourse.telemetry.context import inject_context

OVERLOAD_STATUSES = frozenset((429, 503))
FIRST_ERROR_STATUS = 400


class Run:
    """One attempt at the target; releases its permit exactly once.

    :param record: record of the attempt, updated as the attempt proceeds.
    :param ticket: ticket for which the permit was granted.
    :ivar ended: true once the permit is released.
    :ivar latency: seconds to the first byte of the answer.
    """

    def __init__(
        self,
        *,
        agent: Agent,
        attempt: Attempt,
        record: AttemptRecord,
        ticket: Ticket,
    ) -> None:
        self.agent = agent
        self.attempt = attempt
        self.record = record
        self.ended = False
        self.latency: float = 0
        self._ticket = ticket
        self._started_at = read_clock()
        self._instance = agent.limit.instance
        record.state = AttemptState.RUNNING
        record.version = attempt.version
        agent.suspects.begin(
            InFlightAttempt(
                attempt=attempt.attempt,
                fingerprint=attempt.fingerprint,
                instance=self._instance,
                suspect=attempt.suspect,
            ),
        )

    def build_request(self) -> EngineRequest:
        """Build the request to the target."""
        attempt = self.attempt
        headers = dict(attempt.headers)
        headers[names.REQUEST_ID] = attempt.attempt
        inject_context(headers)
        return EngineRequest(
            attempt=attempt.attempt,
            method=attempt.method,
            path=attempt.path,
            headers=headers,
            body=attempt.body,
            version=attempt.version,
            adapter=attempt.adapter,
            priority=attempt.priority,
        )

    def note_first_byte(self, answer: EngineAnswer) -> None:
        """Update the record and the slow-start limit from an answer's head."""
        self.latency = read_clock() - self._started_at
        self.record.status = answer.status
        limit = self.agent.limit
        if answer.status in OVERLOAD_STATUSES:
            limit.reset_to_cold('overload')
        elif answer.status < FIRST_ERROR_STATUS:
            limit.note_latency(self.latency)
        # A late answer from the instance at the start of the run must not
        # override a newer instance.
        if answer.instance not in {None, self._instance}:
            limit.note_instance(answer.instance)

    def end(self, state: AttemptState) -> None:
        """Release the permit and record the final state of the attempt."""
        if self.ended:
            return
        self.ended = True
        agent = self.agent
        completed = state is AttemptState.COMPLETED
        good = (
            completed
            and (self.record.status or FIRST_ERROR_STATUS) < FIRST_ERROR_STATUS
        )
        self.record.state = state
        self.record.suspect = agent.suspects.is_crash_suspect(
            self.attempt.attempt
        )
        agent.suspects.end(self.attempt.attempt, clean=completed)
        agent.version_use.end(self.attempt)
        if good:
            agent.limit.note_answer(agent.gate.running)
        agent.gate.release(self._ticket, read_clock() - self._started_at)

    async def end_lost(self) -> None:
        """End an attempt whose answer was lost.

        If the target has crashed, the requests in flight become suspect.
        """
        self.agent.limit.reset_to_cold('lost')
        try:
            await check_for_crash(self.agent, self._instance)
        finally:
            self.end(AttemptState.BROKEN)
