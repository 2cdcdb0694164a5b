"""Versions of weights that operators name."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NamedWeights:
    """The version that engines are to be brought to.

    :param seen_at: monotonic seconds; no later than the version was named.
    :param observed: false where a daemon found it at its start and had to
        assume when it was named.
    """

    version: int
    seen_at: float
    observed: bool = True
