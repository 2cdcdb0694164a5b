"""In-memory engine with a staging area for weights, for loader tests."""

import asyncio

from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.engine_port import EngineReport, LoadOrderOutcome

LAYERS = 16


class StagedEngine:
    """Engine that loads the staged chunks on a load order.

    :param version: version held at the start; zero for none.
    :param loading: seconds that a load takes.
    :ivar stage: staged chunks by index.
    :ivar orders: versions ordered, each with the chunks staged then.
    :ivar down: true while the engine does not answer.
    :ivar refuses: true while load orders are refused as unfit.
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
        """Report the state; none while the engine is down."""
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
        self.stage[index] = content
        return True

    async def order_load(
        self, model: ModelName, version: int
    ) -> LoadOrderOutcome:
        """Start to load the staged chunks."""
        if self.down:
            return LoadOrderOutcome.FAILED
        if self.refuses:
            return LoadOrderOutcome.CONFLICT
        self.orders.append((version, dict(self.stage)))
        self.version = version
        self._busy_until = asyncio.get_running_loop().time() + self.loading
        return LoadOrderOutcome.BEGUN

    def restart(self) -> None:
        """Restart without any layer; staged chunks stay."""
        self.version = 0
