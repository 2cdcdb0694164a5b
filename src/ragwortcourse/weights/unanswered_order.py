"""Order to load a version to which the engine gave no answer.

An engine may accept such an order seconds later, and loads what is staged
then. Each order therefore states how many orders the engine has accepted. An
engine whose number is higher refuses it. A restarted engine counts from zero,
and may reach the stated number again.
"""

import dataclasses
from typing import Final

from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EngineReport

# An engine that has answered for this long since a call will not perform it.
LATE_CALL_SECONDS: Final = 12.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnansweredOrder:
    """Order that the engine may still accept.

    :param chunks: the version, which has to stay staged meanwhile.
    :param orders: number of accepted orders that the order states; None if
        the engine states no such number.
    :param sent_at: seconds on the clock of the engine's answers.
    """

    chunks: VersionChunks
    orders: int | None
    sent_at: float


def may_be_accepted(
    order: UnansweredOrder, report: EngineReport, *, seconds: float
) -> bool:
    """Return whether the engine may still accept an order and load chunks.

    :param report: report that was read after the order was sent.
    :param seconds: time since the order for which the engine has answered.
    """
    if seconds > LATE_CALL_SECONDS:
        return False
    if order.orders is None or report.orders is None:
        return not holds_version(report, order)
    if report.orders == order.orders:
        # An order of the version that the engine holds has no effect.
        return not holds_version(report, order)
    return report.orders < order.orders


def holds_version(report: EngineReport, order: UnansweredOrder) -> bool:
    """Return whether the engine holds the version of an order."""
    held, manifest = report.weights, order.chunks.manifest
    if held is None or held.model not in {None, manifest.model}:
        return False
    return held.version == manifest.version
