"""What a loader asks of the engine beside it."""

import dataclasses
import enum
from typing import Protocol

from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import ModelName


class LoadOrderOutcome(enum.StrEnum):
    """What became of an order."""

    BEGUN = 'begun'
    IN_EFFECT = 'in effect'
    UNFIT = 'does not fit the state'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """State of an engine.

    :param busy: true while an order is in progress.
    :param running: requests under way.
    :param weights: layers that it holds; none where it is empty.
    """

    busy: bool
    running: int
    weights: HeldWeights | None


class EnginePort(Protocol):
    """Calls of one engine; none of them raises where it does not answer."""

    async def read_report(self) -> EngineReport | None:
        """Its state; none where it does not answer."""

    async def list_staged(self, model: ModelName) -> frozenset[int]:
        """Chunks that are staged, whatever their version."""

    async def read_staged(self, model: ModelName, index: int) -> bytes | None:
        """Bytes of a staged chunk, unchecked; none where there are none."""

    async def write_staged(
        self, model: ModelName, index: int, content: bytes
    ) -> bool:
        """Stage a chunk over whatever is there; say whether it was taken."""

    async def order_load(
        self, model: ModelName, version: int
    ) -> LoadOrderOutcome:
        """Have it load what is staged now."""
