"""What one request and its caller have got so far."""

import contextlib
import dataclasses
import math
from collections.abc import Iterator

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import TargetName


@dataclasses.dataclass(slots=True, kw_only=True)
class TryHistory:
    """What one request and its caller have got so far.

    Times are monotonic seconds.

    :param heard_at: when the caller got the last part of the answer, infinite
        while one is passed on; before the first part the arrival of the
        request.
    :param asked_at: when a target last got the request; before that its
        arrival.
    :param sent_at: time of the first try.
    :param first_at: time at which the response to the caller began.
    :param said: what each target has said so far, for the log.
    """

    heard_at: float
    asked_at: float
    sent_at: float | None = None
    first_at: float | None = None
    said: dict[TargetName, str] = dataclasses.field(default_factory=dict)

    @contextlib.contextmanager
    def pass_on(self) -> Iterator[None]:
        """Pass on a part of the answer."""
        self.heard_at = math.inf
        try:
            yield
        finally:
            self.heard_at = read_clock()
