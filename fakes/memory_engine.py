"""In-memory model engine or plain service with simulated faults."""

import asyncio
import collections
import itertools
import json
from collections.abc import AsyncIterator

from fakes.engine_faults import EngineFaults
from fakes.engine_load import EngineLoad
from fakes.engine_versions import EngineVersions
from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    Engine,
    EngineAnswer,
    EngineAnswerLost,
    EngineBrokenError,
    EngineOrder,
    EngineRequest,
    EngineSilent,
    EngineState,
    EngineUnreached,
    OrderConfirmed,
    OrderOutcome,
    OrderUnknown,
    StartOutcome,
)
from ragwortcourse.identifiers import (
    AdapterName,
    AttemptId,
    ModelName,
    VersionName,
)

CRASH_MARK = b'crash-the-engine'
RESTART_SECONDS = 0.5
PIECES = 8


class MemoryEngine:
    """State of one stand-in target.

    :param is_model_engine: false for a plain service.
    :param checks_fencing: false for an engine that accepts stale orders.
    :param can_resume: whether a broken stream can be resumed.
    """

    def __init__(
        self,
        *,
        is_model_engine: bool = True,
        checks_fencing: bool = True,
        can_resume: bool = True,
        load: EngineLoad | None = None,
    ) -> None:
        self.is_model_engine = is_model_engine
        self.can_resume = can_resume
        self.load = load or EngineLoad()
        self.faults = EngineFaults()
        self.versions = EngineVersions(checks_fencing=checks_fencing)
        self.runs: collections.Counter[str] = collections.Counter()
        self._resumable: set[AttemptId] = set()
        self.cancelled: list[AttemptId] = []
        self.tells_instance = True
        self.extra_headers: dict[str, str] = {}
        self.crashes = 0
        self.resumes = 0
        self.down_until: float = 0
        self._checks_fencing = checks_fencing
        self._instances = itertools.count(1)
        self._instance = next(self._instances)
        self._died = asyncio.Event()
        self._report: tuple[float, int, int] | None = None

    def build(self) -> Engine:
        """Build the port to this target."""
        return Engine(
            start=self.start,
            resume=self.resume,
            cancel=self.cancel,
            describe=self.describe,
            store_chunk=self.store_chunk,
            order=self.order,
        )

    @property
    def instance(self) -> str:
        """Id of the engine's process; it changes with every restart."""
        return f'instance-{self._instance}'

    def reset_to_cold(self, *, anew: bool) -> None:
        """Return to the cold state while connections stay open.

        :param anew: true if another instance takes over the work.
        """
        self.load.cool()
        if anew:
            self._instance = next(self._instances)

    def die(self, *, downtime: float = RESTART_SECONDS) -> None:
        """Crash and restart: running requests and stored chunks are lost.

        The active versions are held again after the restart.

        :param downtime: seconds until the engine is reachable again.
        """
        self.crashes += 1
        self.down_until = read_clock() + downtime
        self._instance = next(self._instances)
        self._report = None
        self._resumable.clear()
        died, self._died = self._died, asyncio.Event()
        died.set()
        self.load.cool()
        active = dict(self.versions.active)
        self.versions = EngineVersions(checks_fencing=self._checks_fencing)
        for model, version in active.items():
            self.versions.install(model, version)

    async def start(self, request: EngineRequest) -> StartOutcome:
        """Run a request; see :class:`Engine`."""
        if self._is_down() or self.faults.use_up('unreached'):
            return EngineUnreached(detail='nobody listens')
        key = request.headers.get('idempotency-key', request.attempt)
        self.runs[key] += 1
        if CRASH_MARK in request.body:
            self.die()
            return EngineAnswerLost(detail='the engine died')
        self._resumable.add(request.attempt)
        return await self._answer(request, 0)

    async def resume(self, request: EngineRequest, sent: int) -> StartOutcome:
        """Resume a stream; see :class:`Engine`."""
        self.resumes += 1
        if self._is_down():
            return EngineUnreached(detail='nobody listens')
        if not self.can_resume or request.attempt not in self._resumable:
            return EngineAnswerLost(detail='this engine resumes nothing')
        return await self._answer(request, sent)

    async def cancel(self, attempt: AttemptId) -> bool:
        """Stop a request; see :class:`Engine`."""
        self.cancelled.append(attempt)
        return not self._is_down()

    async def describe(self) -> EngineState | EngineSilent:
        """Return the state as last reported; see :class:`Engine`."""
        if self._is_down():
            return EngineSilent(detail='nobody listens', refused=True)
        if self.faults.silent:
            return EngineSilent(detail='no answer')
        now = read_clock()
        report = self._report
        if report is None or self._is_due(now - report[0]):
            bearable = self.load.read_capacity()
            report = self._report = (now, self.load.running, bearable)
        made_at, running, bearable = report
        return EngineState(
            instance=self.instance,
            running=running,
            bearable=bearable if self.load.reports else None,
            age=now - made_at,
            versions=self.versions.describe(),
            role=self.versions.role if self.versions.reports_role else None,
        )

    async def store_chunk(
        self,
        model: ModelName,
        version: VersionName,
        adapter: AdapterName | None,
        index: int,
        chunk: bytes,
    ) -> OrderOutcome:
        """Store a chunk; see :class:`Engine`."""
        if self._is_down():
            return OrderUnknown(detail='nobody listens')
        if self.faults.use_up('truncated_chunks'):
            chunk = chunk[:-1]
        self.versions.store((model, version, adapter), index, chunk)
        return OrderConfirmed()

    async def order(self, given: EngineOrder) -> OrderOutcome:
        """Carry out an order; see :class:`Engine`."""
        if self._is_down():
            return OrderUnknown(detail='nobody listens')
        late = self.faults.late_orders.pop(given.action, None)
        if late is not None:
            # It is in the engine's socket, also when nobody waits any more.
            loop = asyncio.get_running_loop()
            loop.call_later(late, self.versions.follow, given)
            await asyncio.sleep(late)
            return OrderUnknown(detail='no answer')
        outcome = self.versions.follow(given)
        if self.faults.use_up('lost_orders'):
            return OrderUnknown(detail='the answer was lost')
        return outcome

    def _is_due(self, age: float) -> bool:
        return age >= self.load.report_lag and not self.faults.frozen_reports

    def _is_down(self) -> bool:
        return read_clock() < self.down_until

    async def _answer(self, request: EngineRequest, sent: int) -> StartOutcome:
        died = self._died
        self.load.begin()
        begun = True
        try:
            if self.load.dies:
                self.die()
            await asyncio.sleep(self.load.latency * self.load.read_slowdown())
            if died.is_set() or self.faults.use_up('lost'):
                return EngineAnswerLost(detail='the connection broke')
            answer = self._build_answer(request, sent, died)
            begun = False
            return answer
        finally:
            if begun:
                self.load.end()

    def _build_answer(
        self, request: EngineRequest, sent: int, died: asyncio.Event
    ) -> EngineAnswer:
        attempt = request.attempt
        if self.faults.use_up('crossed'):
            attempt = AttemptId(f'not-{attempt}')
        version = self._read_version(request)
        if self.faults.use_up('wrong_version'):
            version = VersionName('another')
        streamed = self.is_model_engine and b'"stream":true' in (
            request.body.replace(b' ', b'')
        )
        kind = 'text/event-stream' if streamed else 'application/json'
        pieces = self._build_pieces(request, version, streamed=streamed)
        body = EngineBody(engine=self, died=died, pieces=skip(pieces, sent))
        return EngineAnswer(
            status=200,
            headers={'content-type': kind, **self.extra_headers},
            attempt=attempt,
            version=version,
            body=body,
            instance=self.instance if self.tells_instance else None,
        )

    def _read_version(self, request: EngineRequest) -> VersionName | None:
        if not self.is_model_engine:
            return None
        if request.version in self.versions.active.values():
            return request.version
        return next(iter(self.versions.active.values()), None)

    def _build_pieces(
        self,
        request: EngineRequest,
        version: VersionName | None,
        *,
        streamed: bool,
    ) -> list[bytes]:
        if not self.is_model_engine:
            key = request.headers.get('idempotency-key', request.attempt)
            return [json.dumps({'runs': self.runs[key]}).encode()]
        words = [
            f'{version}-{index}' for index in range(count_pieces(request.body))
        ]
        if not streamed:
            message = {'role': 'assistant', 'content': ' '.join(words)}
            whole = {'model': version, 'choices': [{'message': message}]}
            return [json.dumps(whole).encode()]
        pieces = [
            b'data: %s\n\n'
            % json.dumps({'choices': [{'delta': {'content': word}}]}).encode()
            for word in words
        ]
        if not self.faults.use_up('no_end'):
            pieces.append(b'data: [DONE]\n\n')
        return pieces


def count_pieces(body: bytes) -> int:
    """Read ``max_tokens`` of a request; ``PIECES`` where there is none."""
    try:
        return int(json.loads(body).get('max_tokens', PIECES))
    except (ValueError, AttributeError, TypeError):
        return PIECES


class EngineBody:
    """Body of one answer, as a timed stream of pieces.

    :param died: set once the engine has crashed.
    """

    def __init__(
        self,
        *,
        engine: MemoryEngine,
        died: asyncio.Event,
        pieces: list[bytes],
    ) -> None:
        self._engine = engine
        self._died = died
        self._pieces = pieces
        self._open = True
        cuts = engine.faults.cut_after
        self._left = cuts.pop(0) if cuts else None

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        load = self._engine.load
        if self._left == 0:
            await self.aclose()
            raise EngineBrokenError('the connection broke')
        if not self._pieces:
            await self.aclose()
            raise StopAsyncIteration
        await asyncio.sleep(load.pace * load.read_slowdown())
        piece = self._pieces.pop(0)
        if self._left is not None:
            piece = piece[: self._left]
            self._left -= len(piece)
        if self._died.is_set():
            await self.aclose()
            raise EngineBrokenError('the connection broke')
        return piece

    async def aclose(self) -> None:
        """Stop the work; further calls have no effect."""
        if self._open:
            self._open = False
            self._engine.load.end()


def skip(pieces: list[bytes], sent: int) -> list[bytes]:
    """Drop the first ``sent`` bytes from a list of pieces."""
    left: list[bytes] = []
    for piece in pieces:
        left.append(piece[sent:])
        sent = max(sent - len(piece), 0)
    return [piece for piece in left if piece]
