"""In-memory engine that may perform calls long after their callers left."""

import asyncio
import contextvars
import random
from collections.abc import Callable, Mapping
from typing import TypeVar

from fakes.call_fate import CallFate, draw_lost_fate
from fakes.engine_load_state import EngineLoadState
from fakes.rotting_stage import RottingStage
from fakes.staged_engine import LAYERS
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import ModelName
from ragwortcourse.platform.engine import CALL_SECONDS
from ragwortcourse.weights.engine_port import EngineReport, LoadOrderOutcome

Answer = TypeVar('Answer')
JudgeOrder = Callable[[int, float], None]

PROMPT_SECONDS = 0.002
# Calls that waited for a silent engine are performed within this, in any
# order: each has a connection of its own.
WAKING_SECONDS = 0.3
LOADING_SECONDS = 0.3


class LateEngine:
    """Engine that loads what is staged when it accepts an order.

    A call is performed by the incarnation of the engine to which it was
    sent, or never.

    :param judge: told of each accepted order: its version, and when it was
        sent.
    :param tell: told in words of what happens.
    :param outliving: whether an order reaches the next incarnation too.
    :ivar lost_shares: share of the calls that get no answer, by name.
    :ivar call_seconds: longest time until a call is performed, if not lost.
    :ivar watchers: called with the name of each call, as it is sent.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        judge: JudgeOrder,
        tell: Callable[[str], None],
        outliving: bool = False,
    ) -> None:
        self.stage = RottingStage()
        self.running = 0
        self.lost_shares: Mapping[str, float] = {}
        self.call_seconds = PROMPT_SECONDS
        self.watchers: list[Callable[[str], None]] = []
        self._rng = rng
        self._judge = judge
        self._tell = tell
        self._outliving = outliving
        self._incarnation = 0
        self._silences = 0
        self._crashes = 0
        self._state = EngineLoadState()
        self._awake = asyncio.Event()
        self._awake.set()
        self._up = asyncio.Event()
        self._up.set()
        self._works: set[asyncio.Task[None]] = set()

    @property
    def held(self) -> int:
        """Return the version that is loaded; zero for none."""
        return 0 if self._is_busy() else self._state.version

    def hold(self, version: int) -> None:
        """Hold a version from the start."""
        self._state = EngineLoadState(version=version)

    async def fall_silent(self, seconds: float) -> None:
        """Perform no call for a time; callers wait."""
        self._silences += 1
        self._awake.clear()
        await asyncio.sleep(seconds)
        self._silences -= 1
        if not self._silences:
            self._awake.set()

    async def crash(self, seconds: float) -> None:
        """End the process; start without any layer, with the stage kept."""
        self._incarnation += 1
        self._crashes += 1
        self._up.clear()
        await asyncio.sleep(seconds)
        self._crashes -= 1
        if not self._crashes:
            self._state = EngineLoadState()
            self._up.set()
            self._tell('engine starts')

    def forget_calls(self) -> None:
        """Drop all calls that are not performed yet."""
        for work in self._works:
            work.cancel()

    async def settle(self) -> None:
        """Wait until each call is performed or dropped."""
        while self._works:
            await asyncio.wait(set(self._works))

    async def read_report(self) -> EngineReport | None:
        """Report the state."""
        return await self._call('report', self._report)

    async def list_staged(self, model: ModelName) -> frozenset[int]:
        """List the indexes of the staged chunks."""
        listed = await self._call('list', lambda _: self.stage.indexes)
        return listed or frozenset()

    async def read_staged(self, model: ModelName, index: int) -> bytes | None:
        """Read a staged chunk."""
        return await self._call('read', lambda _: self.stage.read(index))

    async def write_staged(
        self, model: ModelName, index: int, content: bytes
    ) -> bool:
        """Stage a chunk."""

        def write(is_late: bool) -> bool:
            self.stage.write(index, content, is_late=is_late)
            if is_late:
                text = content[: content.index(b'/')].decode()
                self._tell(f'late write of version {text}, chunk {index}')
            return True

        return bool(await self._call('write', write))

    async def order_load(
        self, model: ModelName, version: int, expected_orders: int | None = None
    ) -> LoadOrderOutcome:
        """Start to load the staged chunks."""
        sent_at = read_clock()
        number = f'order of version {version}, {expected_orders} before it'

        def accept(is_late: bool) -> LoadOrderOutcome:
            outcome = self._accept(version, expected_orders, sent_at)
            since = f' {read_clock() - sent_at:.2f} s late' if is_late else ''
            self._tell(f'{number}: {outcome}{since}')
            return outcome

        self._tell(f'{number}: sent')
        outcome = await self._call('order', accept)
        if outcome is None:
            self._tell(f'{number}: no answer')
        return outcome or LoadOrderOutcome.UNANSWERED

    async def _call(
        self, name: str, act: Callable[[bool], Answer]
    ) -> Answer | None:
        """Have an act performed; return nothing if there is no answer.

        :param act: told whether its caller is not told.
        """
        for watch in tuple(self.watchers):
            watch(name)
        if not self._up.is_set():
            await asyncio.sleep(PROMPT_SECONDS)
            return None
        answer = asyncio.get_running_loop().create_future()
        work = asyncio.create_task(
            self._perform(name, act, answer), context=contextvars.Context()
        )
        self._works.add(work)
        work.add_done_callback(self._works.discard)
        await asyncio.wait((answer,), timeout=CALL_SECONDS)
        return answer.result() if answer.done() else None

    async def _perform(
        self,
        name: str,
        act: Callable[[bool], Answer],
        answer: asyncio.Future[Answer],
    ) -> None:
        sent_at, incarnation = read_clock(), self._incarnation
        fate = self._draw_fate(name)
        await asyncio.sleep(fate.delay)
        while not (self._awake.is_set() and self._up.is_set()):
            await self._awake.wait()
            await self._up.wait()
            await asyncio.sleep(self._rng.uniform(0, WAKING_SECONDS))
        is_reached = incarnation == self._incarnation or (
            name == 'order' and self._outliving
        )
        if not fate.is_performed or not is_reached:
            return
        is_late = not fate.is_answered or read_clock() - sent_at > CALL_SECONDS
        performed = act(is_late)
        if not is_late and incarnation == self._incarnation:
            answer.set_result(performed)

    def _draw_fate(self, name: str) -> CallFate:
        if self._rng.random() < self.lost_shares.get(name, 0):
            return draw_lost_fate(self._rng)
        return CallFate(
            delay=self._rng.uniform(PROMPT_SECONDS / 2, self.call_seconds)
        )

    def _report(self, is_late: bool) -> EngineReport:
        # Reports to the engine's own host are as of now.
        state, is_busy = self._state, self._is_busy()
        return EngineReport(
            busy=is_busy,
            running=self.running,
            weights=HeldWeights(version=state.version, first=0, end=LAYERS)
            if state.version and not is_busy
            else None,
            orders=state.orders,
            born=self._incarnation,
        )

    def _accept(
        self, version: int, expected_orders: int | None, sent_at: float
    ) -> LoadOrderOutcome:
        state = self._state
        if expected_orders not in {None, state.orders} or self._is_busy():
            return LoadOrderOutcome.CONFLICT
        if state.version == version:
            return LoadOrderOutcome.IN_EFFECT
        self._judge(version, sent_at)
        self._state = EngineLoadState(
            version=version,
            orders=state.orders + 1,
            busy_until=read_clock() + LOADING_SECONDS,
        )
        return LoadOrderOutcome.BEGUN

    def _is_busy(self) -> bool:
        return read_clock() < self._state.busy_until
