"""Port from a loader to the engine on the same host."""

import dataclasses
import enum
from typing import Protocol

from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import ModelName


class LoadOrderOutcome(enum.StrEnum):
    """Result of an order to load a version."""

    BEGUN = 'begun'
    IN_EFFECT = 'in effect'
    CONFLICT = 'does not fit the state'
    FAILED = 'failed'
    # The engine may still accept the order.
    UNANSWERED = 'no answer'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """State of an engine.

    :param busy: whether an order is in progress.
    :param running: number of running requests.
    :param weights: layers that the engine holds; None if it holds none.
    :param orders: number of orders accepted since the engine started; None if
        the engine does not state it.
    :param born: start of the engine, milliseconds since the epoch; zero if it
        does not state it.
    """

    busy: bool
    running: int
    weights: HeldWeights | None
    orders: int | None = None
    born: int = 0


class EnginePort(Protocol):
    """Calls of one engine; no call raises if the engine does not answer."""

    async def read_report(self) -> EngineReport | None:
        """Read the engine state; None if the engine does not answer."""

    async def list_staged(self, model: ModelName) -> frozenset[int] | None:
        """List the indexes of staged chunks; None without an answer."""

    async def read_staged(self, model: ModelName, index: int) -> bytes | None:
        """Read a staged chunk without a digest check; None if absent."""

    async def write_staged(
        self, model: ModelName, index: int, content: bytes
    ) -> bool:
        """Stage a chunk, replacing any other; return whether it succeeded."""

    async def order_load(
        self, model: ModelName, version: int, expected_orders: int | None
    ) -> LoadOrderOutcome:
        """Order the engine to load the staged chunks.

        :param expected_orders: number of orders that the engine has to have
            accepted before; None for any.
        """
