"""Faults that a stand-in engine can be told to show."""

import msgspec


class EngineFaults(msgspec.Struct, kw_only=True):
    """Switches and counters; a counter is used up by one request each.

    :param unreached: requests that find nobody listening.
    :param lost: requests that run and whose answer is lost.
    :param crossed: answers that carry another request's id.
    :param wrong_version: answers that another version made.
    :param cut_after: body bytes after which each next stream breaks.
    :param no_end: streams that end cleanly without their end mark.
    :param silent: true while state is not told.
    :param frozen_reports: true while the load report grows old.
    :param lost_orders: orders that take effect and whose answer is lost.
    :param truncated_chunks: chunks that are kept short by a byte.
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

    def use_up(self, name: str) -> bool:
        """Count one use of a fault down; say whether it was switched on."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True
