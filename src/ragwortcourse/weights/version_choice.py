"""Choice of the version that a loader downloads next.

Load pattern: operators name versions in quick succession. Only the newest
version counts in the end, but an engine must not answer from a version whose
successor was named too long ago. If the newest version cannot be ready by
then, the loader finishes an older one first, provided that most of the older
one is downloaded or that both versions can be downloaded in time. The loader
also downloads an older version that other hosts hold while no source has the
newest one complete.
"""

from collections.abc import Callable, Sequence
from typing import Final

from ragwortcourse.forwarding.named_weights import AnnouncedVersion

# Time from the last chunk until all engines of a service have switched one
# after the other.
SWITCH_SECONDS: Final = 2.5
# Time from the last chunk until an engine that switches at once has loaded.
ORDER_SECONDS: Final = 0.4


# Share of the newest version's download time within which an older version
# must be complete to be downloaded first.
SOONER_SHARE: Final = 0.6


def choose_version(
    named: Sequence[AnnouncedVersion],
    *,
    held: int,
    now: float,
    estimate_seconds: Callable[[int], float],
    bound: float,
) -> AnnouncedVersion:
    """Choose the version to download next.

    :param named: at least one named version, newest last.
    :param held: version that the engine or the loader holds; zero for none.
    :param now: current time in seconds on the clock of ``seen_at``.
    :param estimate_seconds: estimates the seconds needed to download a version;
        infinity while no source offers it.
    :param bound: seconds after a version is named from which no request may
        begin on an older version.
    """
    newest = named[-1]
    download_seconds = estimate_seconds(newest.version)
    done_at = now + download_seconds + SWITCH_SECONDS
    for older in named[:-1]:
        is_due = older.seen_at + bound < done_at
        older_seconds = estimate_seconds(older.version)
        is_sooner = older_seconds < download_seconds * SOONER_SHARE
        both_at = now + older_seconds + download_seconds + ORDER_SECONDS
        is_in_time = both_at <= newest.seen_at + bound
        # After the newest version's bound no request may begin on the older.
        is_of_use = now + older_seconds + ORDER_SECONDS < newest.seen_at + bound
        if (
            older.version > held
            and is_due
            and is_of_use
            and (is_sooner or is_in_time)
        ):
            return older
    return newest
