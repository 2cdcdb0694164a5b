"""An engine in memory with a stage for weights, as a loader sees it."""

import asyncio

from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.engine_port import EngineReport, LoadOrderOutcome

LAYERS = 16


class StagedEngine:
    """Loads what is staged when it is ordered.

    :ivar orders: versions ordered, each with what was staged.
    :ivar down: nothing is answered.
    :ivar refuses: orders do not fit.
    """

    def __init__(self, *, version: int = 0, loading: float = 0.3) -> None:
        self.version = version
        self.loading = loading
        self.running = 0
        self.down = False
        self.refuses = False
        self.stage: dict[int, bytes] = {}
        self.orders: list[tuple[int, dict[int, bytes]]] = []
        self._busy_until: float = 0

    async def read_report(self) -> EngineReport | None:
        """Its state."""
        if self.down:
            return None
        busy = asyncio.get_running_loop().time() < self._busy_until
        held = HeldWeights(version=self.version, first=0, end=LAYERS)
        return EngineReport(
            busy=busy,
            running=self.running,
            weights=held if self.version and not busy else None,
        )

    async def list_staged(self, model: ModelName) -> frozenset[int]:
        """Chunks that are staged."""
        return frozenset(self.stage)

    async def read_staged(self, model: ModelName, index: int) -> bytes | None:
        """A staged chunk."""
        return None if self.down else self.stage.get(index)

    async def write_staged(
        self, model: ModelName, index: int, content: bytes
    ) -> bool:
        """Stage a chunk."""
        if self.down:
            return False
        self.stage[index] = content
        return True

    async def order_load(
        self, model: ModelName, version: int
    ) -> LoadOrderOutcome:
        """Load what is staged now."""
        if self.down:
            return LoadOrderOutcome.FAILED
        if self.refuses:
            return LoadOrderOutcome.CONFLICT
        self.orders.append((version, dict(self.stage)))
        self.version = version
        self._busy_until = asyncio.get_running_loop().time() + self.loading
        return LoadOrderOutcome.BEGUN

    def restart(self) -> None:
        """Lose every layer; what is staged stays."""
        self.version = 0
