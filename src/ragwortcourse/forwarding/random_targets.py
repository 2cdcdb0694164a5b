"""Random sampling of usable targets without examining all of them.

Load pattern: each request needs one of thousands of targets, most of which
are usable.
"""

import random
from collections.abc import Callable, Iterable, Iterator

from ragwortcourse.forwarding.target import Target

TargetPredicate = Callable[[Target], bool]


def draw_targets(
    targets: Iterable[Target],
    *,
    count: int,
    rng: random.Random,
    is_usable: TargetPredicate,
    is_avoided: TargetPredicate,
) -> list[Target]:
    """Draw usable targets with equal probability.

    Avoided targets are returned only if there are no others.

    :param count: maximum number of targets.
    """
    sampled: list[Target] = []
    avoided: list[Target] = []
    for target in _shuffle(list(targets), rng):
        if is_usable(target):
            group = avoided if is_avoided(target) else sampled
            group.append(target)
        if len(sampled) == count:
            break
    return sampled or avoided[:count]


def _shuffle(targets: list[Target], rng: random.Random) -> Iterator[Target]:
    """Yield the targets in random order, one draw at a time.

    :param targets: emptied by the draws.
    """
    while targets:
        index = int(rng.random() * len(targets))
        target = targets[index]
        targets[index] = targets[-1]
        targets.pop()
        yield target
