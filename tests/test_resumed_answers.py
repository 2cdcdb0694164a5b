"""Tests of resumed answers that don't continue the broken one."""

import dataclasses
from collections.abc import AsyncIterator

import pytest

from fakes.agents import make_agent, make_attempt
from fakes.engine_faults import EngineFaults
from fakes.memory_engine import MemoryEngine
from ragwortcourse.agent.attempts import run_attempt
from ragwortcourse.engines.engine import (
    EngineAnswer,
    EngineRequest,
    StartOutcome,
)
from ragwortcourse.messages.attempt import AnswerBrokenError, Attempt

pytestmark = pytest.mark.looptime
STREAM = 'text/event-stream'
JSON = 'application/json'
FAILURE = b'{"error": "no such run"}\n\n'
CUT = 10


class BrokenAnswer:
    """Engine whose answers break, with one scripted resumed answer.

    :param body: what a resumed answer sends.
    """

    def __init__(self, *, status: int = 200, kind: str, body: bytes) -> None:
        self.engine = MemoryEngine()
        self.agent = make_agent(self.engine)
        self.agent.engine = dataclasses.replace(
            self.agent.engine, resume=self.resume
        )
        self._status = status
        self._kind = kind
        self._body = body

    async def resume(self, request: EngineRequest, sent: int) -> StartOutcome:
        """Answer as the engine that confirms the offset."""
        return EngineAnswer(
            status=self._status,
            headers={'content-type': self._kind},
            attempt=request.attempt,
            version=request.version,
            body=self._send(),
        )

    async def read(self, attempt: Attempt) -> tuple[bytes, bool]:
        """Return what arrives of an answer, and whether it seems whole."""
        answer = await run_attempt(self.agent, attempt)
        body = b''
        try:
            async for chunk in answer.body:
                body += chunk
        except AnswerBrokenError:
            return body, False
        return body, True

    async def _send(self) -> AsyncIterator[bytes]:
        if self._body:
            yield self._body


class TestStream:
    """Streams that break after some events."""

    @pytest.mark.parametrize('kind', [JSON, '', 'text/plain; charset=utf-8'])
    async def test_failure_inside(self, kind):
        """An answer of another type is not passed on inside a stream."""
        broken = BrokenAnswer(kind=kind, body=FAILURE)
        broken.engine.faults = EngineFaults(cut_after=[70])
        body, whole = await broken.read(make_attempt())
        assert len(body) == 70
        assert not whole

    async def test_no_event(self):
        """An empty resumed answer ends no stream."""
        broken = BrokenAnswer(kind=STREAM, body=b'')
        broken.engine.faults = EngineFaults(cut_after=[70])
        body, whole = await broken.read(make_attempt())
        assert len(body) == 70
        assert not whole

    async def test_other_parameters(self):
        """The parameters of a type may differ."""
        broken = BrokenAnswer(
            kind='Text/Event-Stream; charset=utf-8', body=b'data: [DONE]\n\n'
        )
        broken.engine.faults = EngineFaults(cut_after=[70])
        body, whole = await broken.read(make_attempt())
        assert body.endswith(b'data: [DONE]\n\n')
        assert whole


class TestWholeBody:
    """Answers in one piece that break."""

    async def read_cut(self, rest: bytes, length: int | None) -> bool:
        """Tell whether an answer that goes on with ``rest`` seems whole."""
        broken = BrokenAnswer(kind=JSON, body=rest)
        broken.engine.faults = EngineFaults(cut_after=[CUT])
        if length is not None:
            broken.engine.extra_headers = {'content-length': str(length)}
        body, whole = await broken.read(make_attempt(body=b'{}'))
        assert len(body) >= CUT
        return whole

    @pytest.mark.parametrize('rest', [b'', b'123456789', b'123456789ab'])
    async def test_other_length(self, rest):
        """A body that is shorter or longer than announced is broken."""
        assert not await self.read_cut(rest, CUT + 10)

    async def test_announced_length(self):
        """A body of the announced length is whole."""
        assert await self.read_cut(b'1234567890', CUT + 10)

    async def test_nothing_of_unknown_length(self):
        """Without a length, a resumed answer without a byte ends nothing."""
        assert not await self.read_cut(b'', None)

    async def test_rest_of_unknown_length(self):
        """Without a length, a resumed answer ends the body."""
        assert await self.read_cut(b'1234567890', None)
