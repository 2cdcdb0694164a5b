"""Versions of weights that operators name."""

import dataclasses
import math
from collections.abc import Mapping, Sequence

from ragwortcourse.identifiers import ModelName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NamedWeights:
    """The version that engines are to be brought to.

    :param seen_at: seconds of
        :func:`~ragwortcourse.clock.read_clock_with_suspend`, no later than the
        version was named.
    :param observed: false where a daemon found it at its start and had to
        assume when it was named.
    """

    version: int
    seen_at: float
    observed: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionHistory:
    """Versions of each model that a daemon knows, the newest last.

    It holds every version that was named since the daemon first read the
    operators' rows; the one before them, if there is one, has an assumed time.

    :param since: seconds of the same clock at that first reading; infinite
        where there was none yet.
    """

    versions: Mapping[ModelName, Sequence[NamedWeights]]
    since: float = math.inf


def list_running(
    versions: Sequence[NamedWeights], *, now: float, bound: float
) -> Sequence[NamedWeights]:
    """Versions by which older ones may still expire.

    :param versions: the newest last.
    :param bound: seconds from a naming after which older ones have expired.
    """
    expired = (
        index
        for index, named in enumerate(versions)
        if now - named.seen_at > bound
    )
    return versions[max(expired, default=0) :]
