"""Versions of weights that operators have announced."""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final

from ragwortcourse.identifiers import DaemonId, ModelName

# Engines hold this version until an operator names one.
FIRST_VERSION: Final = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncedVersion:
    """Version to which engines are to be updated.

    :param seen_at: seconds of
        :func:`~ragwortcourse.clock.read_clock_with_suspend`, no later than the
        version was announced.
    :param observed: false if a daemon found the version at its start and had
        to assume the time of its announcement.
    """

    version: int
    seen_at: float
    observed: bool = True
    told_by: DaemonId | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionHistory:
    """Versions of each model that a daemon knows.

    The history holds every version announced since the daemon first read the
    operators' rows. The version before them, if any, has an assumed time.

    :param versions: versions of each model, the newest last.
    :param since: seconds at the first read of the rows, on the clock of
        ``seen_at``; infinite before that read.
    """

    versions: Mapping[ModelName, Sequence[AnnouncedVersion]]
    since: float = math.inf


def list_unexpired(
    versions: Sequence[AnnouncedVersion], *, now: float, bound: float
) -> Sequence[AnnouncedVersion]:
    """List the versions that other daemons need to expire older versions.

    :param versions: versions of a model, the newest last.
    :param now: seconds on the clock of ``seen_at``.
    :param bound: seconds after the announcement of a version at which older
        versions expire.
    :return: the newest version by which all earlier ones have expired, and
        all later versions; all versions if there is none.
    """
    expired = (
        index
        for index, named in enumerate(versions)
        if now - named.seen_at > bound
    )
    return versions[max(expired, default=0) :]
