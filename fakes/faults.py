"""Fault switches of stand-ins."""

import asyncio
import dataclasses
import enum


class Fault(enum.StrEnum):
    """A kind of failure.

    ``REFUSED``: an error answer; the request takes no effect. ``DOWN``: not
    reachable; no effect. ``SLOW``: success after a delay. ``ANSWER_LOST``:
    takes effect, but no answer is sent. ``TRUNCATED``: takes effect; the
    answer is cut short. ``GARBAGE``: takes effect; the answer can't be
    decoded.
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

    :param fault: none for normal operation.
    :param seconds: delay of a request, such as the delay of ``SLOW`` or
        the time until the client notices ``DOWN`` or a lost answer.
    :param left: requests that the fault still affects; none for no limit.
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
        """Set the fault; none ends it.

        :param seconds: delay of each request.
        :param times: number of requests affected; none for no limit.
        """
        self.fault = fault
        self.seconds = seconds
        self.left = times

    def take(self) -> Fault | None:
        """Return the fault of the next request, and count it."""
        if self.fault is None or self.left == 0:
            return None
        if self.left is not None:
            self.left -= 1
        return self.fault

    async def wait(self) -> None:
        """Sleep for the delay of the fault."""
        if self.seconds:
            await asyncio.sleep(self.seconds)
