"""Rendezvous hashing, with the same result in every daemon."""

import hashlib
from collections.abc import Iterable, Sequence

SCORE_BYTES = 8
SCORE_RANGE = 1 << (8 * SCORE_BYTES)


def score_pair(chooser: str, name: str) -> int:
    """Return the score of a name for a chooser, equal in all processes."""
    digest = hashlib.blake2b(
        f'{chooser}\0{name}'.encode(), digest_size=SCORE_BYTES
    )
    return int.from_bytes(digest.digest())


def pick_highest(
    chooser: str, names: Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the names with the highest scores, the highest first."""
    ranked = sorted(
        names, key=lambda name: score_pair(chooser, name), reverse=True
    )
    return tuple(ranked[:count])


def pick_by_modulo(chooser: str, names: Sequence[str]) -> str:
    """Return one name by hash modulo; a new name can change every choice."""
    return names[score_pair(chooser, '') % len(names)]
