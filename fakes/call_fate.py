"""What becomes of one call to an engine."""

import dataclasses
import random

# Range of the time after which a call without an answer is performed.
LATE_SECONDS = (0.0, 10.0)
NEVER_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallFate:
    """Fate of a call.

    :param delay: seconds until it is performed.
    :param is_answered: whether the caller is told.
    :param is_performed: whether it is performed at all.
    """

    delay: float
    is_answered: bool = True
    is_performed: bool = True


def draw_lost_fate(rng: random.Random) -> CallFate:
    """Draw the fate of a call that gets no answer."""
    return CallFate(
        delay=rng.uniform(*LATE_SECONDS),
        is_answered=False,
        is_performed=rng.random() >= NEVER_SHARE,
    )
