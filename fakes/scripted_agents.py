"""In-memory agents that fail at scripted points of an attempt."""

import asyncio
import collections
import enum
from collections.abc import AsyncIterator

from ragwortcourse.identifiers import (
    AttemptId,
    DeploymentName,
    FailureDomainName,
    Generation,
    ModelName,
    TargetName,
    VersionName,
)
from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    Attempt,
    AttemptAnswer,
    AttemptLost,
    AttemptOutcome,
    AttemptRefused,
    AttemptUnreached,
)
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.outcome import NotRun, Unknown
from ragwortcourse.messages.peer_port import AgentPort, PeerUnavailable
from ragwortcourse.messages.target_status import ServedVersion, TargetStatus

NEWER_VERSION = VersionName('v3')


class ScriptedResult(enum.StrEnum):
    """Scripted result of one attempt at an agent.

    ``LATE``: the connection breaks and the attempt arrives only later.
    ``LOST_BEFORE``: the connection breaks before the engine has the work.
    ``LOST_DURING``: the connection breaks while the engine still works.
    ``LOST_AFTER``: the engine completes the work, but the answer is lost.
    ``EMPTY``: the answer breaks after its headers.
    ``SHORT``: the answer breaks after its first chunk.
    ``NEWER``: the target serves ``v3`` only; other versions are refused.
    ``FICKLE``: the target serves a version that it never served before.
    ``CRASH``: the attempt crashes the target.
    ``CRASH_LATER``: the attempt crashes the target after the first chunk.
    ``HANG``: no answer ever arrives.
    """

    ANSWER = 'answer'
    FULL = 'full'
    BARRED = 'barred'
    UNREACHED = 'unreached'
    LATE = 'late'
    LOST_BEFORE = 'lost_before'
    LOST_DURING = 'lost_during'
    LOST_AFTER = 'lost_after'
    EMPTY = 'empty'
    SHORT = 'short'
    WRONG_VERSION = 'wrong_version'
    NEWER = 'newer'
    FICKLE = 'fickle'
    CRASH = 'crash'
    CRASH_LATER = 'crash_later'
    HANG = 'hang'


_RUN_STATES = {
    ScriptedResult.LOST_DURING: AttemptState.RUNNING,
    ScriptedResult.LOST_AFTER: AttemptState.COMPLETED,
    ScriptedResult.EMPTY: AttemptState.BROKEN,
    ScriptedResult.SHORT: AttemptState.BROKEN,
    ScriptedResult.CRASH: AttemptState.BROKEN,
    ScriptedResult.CRASH_LATER: AttemptState.BROKEN,
    ScriptedResult.HANG: AttemptState.RUNNING,
}


class ScriptedAgents:
    """Agents by address, each with scripted results in order.

    :param chunks: body of every answer.
    :ivar sent: attempts sent, with the address of the agent.
    :ivar ran: attempts that reached an engine, with the address.
    :ivar silent: addresses whose agents don't answer a bar request.
    :ivar suspects: attempts that crashed a target.
    :ivar seconds: delay of each answer.
    """

    def __init__(
        self, *, chunks: tuple[bytes, ...] = (b'one ', b'two')
    ) -> None:
        self.chunks = chunks
        self.scripted_results: dict[str, collections.deque[ScriptedResult]] = {}
        self.sent: list[tuple[str, Attempt]] = []
        self.ran: list[tuple[str, Attempt]] = []
        self.states: dict[tuple[str, AttemptId], AttemptState] = {}
        self.silent: set[str] = set()
        self.suspects: set[AttemptId] = set()
        self.seconds = 0.0

    def script(self, address: str, *results: ScriptedResult) -> None:
        """Set the results of the next attempts at an agent.

        Attempts after the script are answered normally.
        """
        self.scripted_results[address] = collections.deque(results)

    def build_port(self) -> AgentPort:
        """Build an entry daemon's port to these agents."""
        return AgentPort(start=self.start, bar=self.bar, heartbeat=self.beat)

    async def start(self, address: str, attempt: Attempt) -> AttemptOutcome:
        """Handle an attempt with the next scripted result."""
        self.sent.append((address, attempt))
        results = self.scripted_results.get(address)
        result = results.popleft() if results else ScriptedResult.ANSWER
        await asyncio.sleep(self.seconds)
        if result is ScriptedResult.UNREACHED:
            return AttemptUnreached(detail='refused')
        if result in {ScriptedResult.LATE, ScriptedResult.LOST_BEFORE}:
            return AttemptLost(detail='reset')
        if self._is_barred(address, attempt) or result is ScriptedResult.BARRED:
            return self._refuse('barred')
        if result is ScriptedResult.FULL:
            self.states[address, attempt.attempt] = AttemptState.REFUSED
            return self._refuse('full')
        if result is ScriptedResult.NEWER and attempt.version != NEWER_VERSION:
            return self._refuse('version_not_served', serves=NEWER_VERSION)
        if result is ScriptedResult.FICKLE:
            another = VersionName(f'{attempt.version}-later')
            return self._refuse('version_not_served', serves=another)
        return await self._run(address, attempt, result)

    def _is_barred(self, address: str, attempt: Attempt) -> bool:
        state = self.states.get((address, attempt.attempt))
        return state is AttemptState.BARRED

    def _refuse(
        self, code: str, *, serves: VersionName | None = None
    ) -> AttemptRefused:
        served = serves and ServedVersion(
            model=ModelName('captions'), version=serves
        )
        return AttemptRefused(
            status=503,
            outcome=NotRun(code=code, detail=code, retry_after=1),
            spare=0,
            generation=Generation(1),
            served=(served,) if served else None,
        )

    async def _run(
        self, address: str, attempt: Attempt, result: ScriptedResult
    ) -> AttemptOutcome:
        self.ran.append((address, attempt))
        if result in {
            ScriptedResult.CRASH,
            ScriptedResult.CRASH_LATER,
        }:
            self.suspects.add(attempt.attempt)
        state = _RUN_STATES.get(result, AttemptState.COMPLETED)
        self.states[address, attempt.attempt] = state
        if result is ScriptedResult.HANG:
            await asyncio.Event().wait()
        if result in {
            ScriptedResult.LOST_DURING,
            ScriptedResult.LOST_AFTER,
        }:
            return AttemptLost(detail='reset')
        if result is ScriptedResult.CRASH:
            return AttemptRefused(
                status=502,
                outcome=Unknown(code='target_lost', detail='it died'),
                spare=0,
                generation=Generation(1),
                suspect=True,
            )
        version = attempt.version
        if result is ScriptedResult.WRONG_VERSION:
            version = VersionName('another')
        return AttemptAnswer(
            status=200,
            headers={'content-type': 'text/event-stream'},
            body=self._stream_body(result),
            spare=1,
            generation=Generation(1),
            version=version,
        )

    async def _stream_body(
        self, result: ScriptedResult
    ) -> AsyncIterator[bytes]:
        if result is ScriptedResult.EMPTY:
            raise AnswerBrokenError(
                'answer broken after its headers by the script'
            )
        for chunk in self.chunks:
            yield chunk
            if result in {
                ScriptedResult.SHORT,
                ScriptedResult.CRASH_LATER,
            }:
                raise AnswerBrokenError(
                    'answer broken after its first chunk by the script'
                )

    async def bar(
        self, address: str, attempt: AttemptId, age: float
    ) -> AttemptReport | PeerUnavailable:
        """Report an attempt; bar it if it has not arrived yet."""
        await asyncio.sleep(self.seconds)
        if address in self.silent:
            return PeerUnavailable(detail='silent')
        state = self.states.setdefault((address, attempt), AttemptState.BARRED)
        return AttemptReport(
            attempt=attempt, state=state, suspect=attempt in self.suspects
        )

    async def beat(
        self, address: str, heartbeat: Heartbeat
    ) -> TargetStatus | PeerUnavailable:
        """Report a healthy target."""
        return TargetStatus(
            target=TargetName(address),
            deployment=DeploymentName('booking'),
            failure_domain=FailureDomainName('attica-a'),
            limit=1,
            running=0,
            queued=0,
            leaving=False,
            served=(),
            generation=heartbeat.generation,
        )
