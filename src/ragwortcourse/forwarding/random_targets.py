"""A few usable targets by chance, without a look at all of them.

Load pattern: each request needs a target out of thousands, most of which
would do.
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
    """At most so many usable targets, each as likely as any other.

    Avoided ones come only where there are no others.
    """
    drawn: list[Target] = []
    avoided: list[Target] = []
    for target in _shuffle(list(targets), rng):
        if is_usable(target):
            group = avoided if is_avoided(target) else drawn
            group.append(target)
        if len(drawn) == count:
            break
    return drawn or avoided[:count]


def _shuffle(targets: list[Target], rng: random.Random) -> Iterator[Target]:
    """Targets in an order of chance, drawn one by one.

    :param targets: changed by it.
    """
    while targets:
        index = int(rng.random() * len(targets))
        drawn = targets[index]
        targets[index] = targets[-1]
        targets.pop()
        yield drawn
