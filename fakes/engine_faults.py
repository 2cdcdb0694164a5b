"""Faults that a stand-in engine simulates on request."""

import msgspec

from ragwortcourse.engines.engine import OrderAction


class EngineFaults(msgspec.Struct, kw_only=True):
    """Switches, and counters of how many requests a fault still affects.

    :param unreached: requests that find no engine listening.
    :param lost: requests that run but whose answer is lost.
    :param crossed: answers that carry the id of another request.
    :param wrong_version: answers from a version other than the requested.
    :param cut_after: body bytes after which a stream breaks, one entry for
        each of the next streams.
    :param no_end: streams that end cleanly but without the end marker.
    :param silent: true while the engine does not report its state.
    :param frozen_reports: true while the load report is not refreshed.
    :param lost_orders: orders that take effect but whose answer is lost.
    :param late_orders: seconds after which the engine follows the next order
        of an action, which it does not answer.
    :param truncated_chunks: chunks stored without their last byte.
    """

    unreached: int = 0
    lost: int = 0
    crossed: int = 0
    wrong_version: int = 0
    cut_after: list[int] = []
    no_end: int = 0
    silent: bool = False
    frozen_reports: bool = False
    lost_orders: int = 0
    truncated_chunks: int = 0
    late_orders: dict[OrderAction, float] = {}

    def use_up(self, name: str) -> bool:
        """Use a counted fault once; return whether any use was left."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True
