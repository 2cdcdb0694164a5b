"""In-memory engine with a staging area for weights, for loader tests."""

import asyncio
from collections.abc import Callable

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.engine_port import EngineReport, LoadOrderOutcome

LAYERS = 16
# Time limit of the loader's calls.
CALL_SECONDS = 1.0


class StagedEngine:
    """Engine that loads the staged chunks on a load order.

    :param version: version held at the start; zero for none.
    :param loading: seconds that a load takes.
    :ivar stage: staged chunks by index.
    :ivar orders: versions ordered, each with the chunks staged then.
    :ivar accepted: number of orders accepted since the start.
    :ivar born: number of the start.
    :ivar down: true while the engine does not answer.
    :ivar refuses: true while load orders are refused as unfit.
    :ivar late_orders: for each of the next orders, the seconds after which it
        is done without an answer.
    :ivar late_writes: the same for each of the next staged chunks.
    """

    def __init__(self, *, version: int = 0, loading: float = 0.3) -> None:
        self.version = version
        self.loading = loading
        self.running = 0
        self.down = False
        self.refuses = False
        self.stage: dict[int, bytes] = {}
        self.orders: list[tuple[int, dict[int, bytes]]] = []
        self.accepted = 0
        self.born = 1
        self.late_orders: list[float] = []
        self.late_writes: list[float] = []
        self._busy_until: float = 0

    async def read_report(self) -> EngineReport | None:
        """Report the state; none while the engine is down."""
        if self.down:
            return None
        busy = self._is_busy()
        held = HeldWeights(version=self.version, first=0, end=LAYERS)
        return EngineReport(
            busy=busy,
            running=self.running,
            weights=held if self.version and not busy else None,
            orders=self.accepted,
            born=self.born,
        )

    async def list_staged(self, model: ModelName) -> frozenset[int]:
        """List the indexes of the staged chunks."""
        return frozenset(self.stage)

    async def read_staged(self, model: ModelName, index: int) -> bytes | None:
        """Read a staged chunk."""
        return None if self.down else self.stage.get(index)

    async def write_staged(
        self, model: ModelName, index: int, content: bytes
    ) -> bool:
        """Stage a chunk."""
        if self.down:
            return False
        if self.late_writes:
            await self._leave_unanswered(
                self.late_writes, lambda: self.stage.update({index: content})
            )
            return False
        self.stage[index] = content
        return True

    async def order_load(
        self, model: ModelName, version: int, expected_orders: int | None = None
    ) -> LoadOrderOutcome:
        """Start to load the staged chunks."""
        if self.down:
            return LoadOrderOutcome.UNANSWERED
        if self.refuses:
            return LoadOrderOutcome.CONFLICT
        if self.late_orders:
            await self._leave_unanswered(
                self.late_orders, lambda: self._accept(version, expected_orders)
            )
            return LoadOrderOutcome.UNANSWERED
        return self._accept(version, expected_orders)

    def restart(self) -> None:
        """Restart without any layer; staged chunks stay."""
        self.version = 0
        self.accepted = 0
        self.born += 1

    def _accept(
        self, version: int, expected_orders: int | None
    ) -> LoadOrderOutcome:
        if expected_orders not in {None, self.accepted} or self._is_busy():
            return LoadOrderOutcome.CONFLICT
        if version == self.version:
            return LoadOrderOutcome.IN_EFFECT
        self.orders.append((version, dict(self.stage)))
        self.accepted += 1
        self.version = version
        self._busy_until = read_clock() + self.loading
        return LoadOrderOutcome.BEGUN

    def _is_busy(self) -> bool:
        return read_clock() < self._busy_until

    async def _leave_unanswered(
        self, seconds: list[float], act: Callable[[], object]
    ) -> None:
        asyncio.get_running_loop().call_later(seconds.pop(0), act)
        await asyncio.sleep(CALL_SECONDS)
