"""Which version a loader brings to its engine next.

Load pattern: versions are named in quick succession. The newest one alone
counts in the end, but an engine must not answer from a version whose
successor was named too long ago: where the newest can't be there by then,
an older one is finished first, if it is mostly drawn or both can be drawn in
time. So is one that others hold, while nobody has the newest whole.
"""

from collections.abc import Callable, Sequence
from typing import Final

from ragwortcourse.forwarding.named_weights import NamedWeights

# From the last chunk to the last loaded engine: they take turns.
SWITCH_SECONDS: Final = 2.5
# From the last chunk to an engine that is ordered at once.
ORDER_SECONDS: Final = 0.4


# An older version is finished if that takes less than this part of the time
# of the newest.
MOSTLY_DRAWN: Final = 0.6


def choose_version(
    named: Sequence[NamedWeights],
    *,
    held: int,
    now: float,
    foresee: Callable[[int], float],
    bound: float,
) -> NamedWeights:
    """The version to be brought next.

    :param named: the newest last, at least one.
    :param held: version that the engine holds; zero for none.
    :param foresee: seconds until a version could be drawn; infinite while
        nobody gives it.
    :param bound: seconds from a version's naming after which no request
        may begin on an older one.
    """
    newest = named[-1]
    drawing = foresee(newest.version)
    done_at = now + drawing + SWITCH_SECONDS
    for older in named[:-1]:
        is_due = older.seen_at + bound < done_at
        first = foresee(older.version)
        is_sooner = first < drawing * MOSTLY_DRAWN
        both_at = now + first + drawing + ORDER_SECONDS
        is_in_time = both_at <= newest.seen_at + bound
        # After the newest's bound no request may begin on it either.
        is_of_use = now + first + ORDER_SECONDS < newest.seen_at + bound
        if (
            older.version > held
            and is_due
            and is_of_use
            and (is_sooner or is_in_time)
        ):
            return older
    return newest
