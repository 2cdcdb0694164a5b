"""Order to load a version to which the engine gave no answer.

An engine may accept such an order seconds later, and loads what is staged
then. Each order therefore states how many orders the engine has accepted. As
soon as the engine has accepted another one, it refuses the former ones.
"""

import dataclasses
from typing import Final

from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EngineReport

# Time after which a call without an answer counts as never performed.
LATE_CALL_SECONDS: Final = 12.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnansweredOrder:
    """Order that the engine may still accept.

    :param chunks: the version, which has to stay staged meanwhile.
    :param orders: number of accepted orders that the order states; None if
        the engine states no such number.
    :param sent_at: seconds on the clock that counts suspension.
    """

    chunks: VersionChunks
    orders: int | None
    sent_at: float


def may_be_accepted(
    order: UnansweredOrder, report: EngineReport, now: float
) -> bool:
    """Return whether the engine may still accept an order.

    :param report: report that was read after the order was sent.
    :param now: seconds on the clock of ``sent_at``.
    """
    held = 0 if report.weights is None else report.weights.version
    # An order of the version that the engine holds has no effect.
    if held == order.chunks.manifest.version:
        return False
    if now - order.sent_at > LATE_CALL_SECONDS:
        return False
    # A restarted engine counts from zero, and may reach the stated number.
    return (
        order.orders is None
        or report.orders is None
        or report.orders <= order.orders
    )
