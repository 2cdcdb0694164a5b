"""Switches that make a stand-in fail in a chosen way."""

import asyncio
import dataclasses
import enum


class Fault(enum.StrEnum):
    """A way to fail.

    ``REFUSED``: answered at once, nothing done. ``DOWN``: not reachable,
    nothing done. ``SLOW``: done after a delay. ``ANSWER_LOST``: done, and
    no answer. ``TRUNCATED``: done, the answer cut short. ``GARBAGE``: done,
    the answer made unreadable.
    """

    REFUSED = 'refused'
    DOWN = 'down'
    SLOW = 'slow'
    ANSWER_LOST = 'answer_lost'
    TRUNCATED = 'truncated'
    GARBAGE = 'garbage'


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """The fault in force for one client of a stand-in.

    :param fault: none while all is well.
    :param seconds: delay of ``SLOW``, and time until a ``DOWN`` or lost
        answer is noticed.
    :param left: times the fault still strikes; none for no limit.
    """

    fault: Fault | None = None
    seconds: float = 0
    left: int | None = None

    def set(
        self,
        fault: Fault | None,
        *,
        seconds: float = 0,
        times: int | None = None,
    ) -> None:
        """Put a fault in force, or none."""
        self.fault = fault
        self.seconds = seconds
        self.left = times

    def take(self) -> Fault | None:
        """The fault that strikes this time."""
        if self.fault is None or self.left == 0:
            return None
        if self.left is not None:
            self.left -= 1
        return self.fault

    async def wait(self) -> None:
        """Let the time pass that noticing the fault takes."""
        if self.seconds:
            await asyncio.sleep(self.seconds)
