"""Rendezvous hashing: every daemon ranks the same names alike."""

import hashlib
from collections.abc import Iterable, Sequence

SCORE_BYTES = 8


def score_pair(chooser: str, name: str) -> int:
    """Rank of a name for a chooser; the same in every process."""
    digest = hashlib.blake2b(
        f'{chooser}\0{name}'.encode(), digest_size=SCORE_BYTES
    )
    return int.from_bytes(digest.digest())


def pick_highest(
    chooser: str, names: Iterable[str], count: int
) -> tuple[str, ...]:
    """The names that rank highest for a chooser, the highest first."""
    ranked = sorted(
        names, key=lambda name: score_pair(chooser, name), reverse=True
    )
    return tuple(ranked[:count])


def pick_by_modulo(chooser: str, names: Sequence[str]) -> str:
    """One of the names by a single hash; all move when a name comes."""
    return names[score_pair(chooser, '') % len(names)]
