"""Updates of a daemon's state of the fleet, each with one log line."""

import dataclasses
import logging
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.named_weights import (
    FIRST_VERSION,
    AnnouncedVersion,
    VersionHistory,
)
from ragwortcourse.forwarding.target_departures import Departure
from ragwortcourse.identifiers import DaemonId, FailureDomainName, ModelName

# Versions of a model that are kept: more than operators announce within one
# bound on old versions.
VERSIONS_KEPT: Final = 16
# Tolerance for rounding and for the transit time of a message.
REPORT_TOLERANCE_SECONDS: Final = 0.25
# Lower than every version of a model.
NO_VERSION: Final = 0

LOGGER: Final = logging.getLogger(__name__)


def note_desired(state: FleetState, desired: DesiredState) -> None:
    """Apply a desired state unless the same or a newer one is in force."""
    current = state.desired
    if current is not None and desired.version <= current.version:
        return
    state.desired = desired
    LOGGER.info(
        'desired state in force',
        extra={
            'version': desired.version,
            'before': None if current is None else current.version,
            'hosts': len(desired.routes),
        },
    )


def note_withdrawals(
    state: FleetState, withdrawn: frozenset[FailureDomainName]
) -> None:
    """Apply the set of failure domains that get no requests."""
    if withdrawn != state.withdrawn:
        LOGGER.info(
            'withdrawn failure domains changed',
            extra={
                'withdrawn': sorted(withdrawn),
                'before': sorted(state.withdrawn),
            },
        )
    state.withdrawn = withdrawn


def note_departure(
    state: FleetState, departure: Departure, told_by: DaemonId | None = None
) -> None:
    """Apply that a target leaves; it gets no new requests.

    :param told_by: daemon that got the answer; none for this one.
    """
    if not state.departures.add(departure, own=told_by is None):
        return
    listed = state.targets.get(departure.target)
    if listed is not None:
        state.targets[listed.name] = state.departures.apply(listed)
    LOGGER.info(
        'target says that it leaves',
        extra={
            'target': departure.target,
            'born': departure.born,
            'told_by': told_by,
        },
    )


def note_weights(
    state: FleetState,
    model: ModelName,
    named: AnnouncedVersion,
    *,
    complete_at: float = math.inf,
) -> None:
    """Apply a version from the operators' rows.

    Versions only rise. A time that the daemon observed itself replaces an
    assumed time and a later time reported by another daemon.

    :param complete_at: seconds on the clock of ``seen_at`` at which the rows
        were last complete; versions announced since then may have been
        replaced unread.
    """
    known = _index_versions(state, model)
    if named.version < max(known, default=NO_VERSION):
        return
    if _is_more_reliable(known.get(named.version), named):
        taken = [*_assume_missed(known, named, complete_at), named]
        _keep(state, model, known, taken)
        for each in taken:
            _log_announced(model, each)


def _assume_missed(
    known: Mapping[int, AnnouncedVersion],
    named: AnnouncedVersion,
    complete_at: float,
) -> Iterator[AnnouncedVersion]:
    """Assume that all unknown versions before one were announced at once.

    A time that was assumed for the version so far was early enough for them.
    """
    before = known.get(named.version)
    if before is not None and not before.observed:
        complete_at = min(complete_at, before.seen_at)
    older = max(
        (version for version in known if version < named.version),
        default=FIRST_VERSION,
    )
    if named.version > older + 1 and complete_at < named.seen_at:
        yield AnnouncedVersion(
            version=named.version - 1, seen_at=complete_at, observed=False
        )


def note_found_weights(
    state: FleetState, model: ModelName, named: AnnouncedVersion
) -> None:
    """Apply a version from a read of all rows.

    A known version was not announced again, so the read tells nothing about
    its time.
    """
    known = _index_versions(state, model)
    if named.version > max(known, default=NO_VERSION):
        _keep(state, model, known, [named])
        _log_announced(model, named)


def _log_announced(model: ModelName, named: AnnouncedVersion) -> None:
    LOGGER.info(
        'weights version announced',
        extra={
            'model': model,
            'version': named.version,
            'seconds_ago': read_clock_with_suspend() - named.seen_at,
            'observed': named.observed,
        },
    )


def note_history(
    state: FleetState,
    history: VersionHistory,
    *,
    told_by: DaemonId | None = None,
) -> None:
    """Merge the versions of models that another daemon knows.

    If the other daemon has read the operators' rows for longer, its times
    replace assumed times, and intermediate versions, whose bounds may still
    run, are added. Otherwise the report can only make bounds earlier.

    :param told_by: the other daemon.
    """
    is_longer = history.since < state.versions_complete_since
    for model, versions in history.versions.items():
        known = _index_versions(state, model)
        newest = max(known, default=NO_VERSION)
        taken = [
            dataclasses.replace(each, told_by=told_by)
            for each in versions
            if (is_longer and _is_more_reliable(known.get(each.version), each))
            or _makes_earlier(known.get(each.version), each, newest)
        ]
        if taken:
            _keep(state, model, known, taken)
            _log_reported(model, known, taken)


def _index_versions(
    state: FleetState, model: ModelName
) -> dict[int, AnnouncedVersion]:
    return {each.version: each for each in state.weights.get(model, ())}


def _keep(
    state: FleetState,
    model: ModelName,
    known: Mapping[int, AnnouncedVersion],
    taken: Sequence[AnnouncedVersion],
) -> None:
    merged = {**known, **{each.version: each for each in taken}}
    state.weights[model] = tuple(merged[version] for version in sorted(merged))[
        -VERSIONS_KEPT:
    ]


def _makes_earlier(
    known: AnnouncedVersion | None, reported: AnnouncedVersion, newest: int
) -> bool:
    """Tell whether a report of another daemon can only make bounds earlier."""
    if known is None:
        return reported.observed or reported.version > newest
    return known.observed and _is_more_reliable(known, reported)


def _is_more_reliable(
    known: AnnouncedVersion | None, reported: AnnouncedVersion
) -> bool:
    """Tell whether a reported time is more reliable than the known one.

    Of two observed times the earlier one counts: a daemon that was stalled
    reads old messages late and takes them as new.
    """
    if known is None:
        return True
    if not reported.observed or not known.observed:
        return reported.observed
    return reported.seen_at < known.seen_at - REPORT_TOLERANCE_SECONDS


def _log_reported(
    model: ModelName,
    known: Mapping[int, AnnouncedVersion],
    taken: Sequence[AnnouncedVersion],
) -> None:
    now = read_clock_with_suspend()
    for named in taken:
        before = known.get(named.version)
        LOGGER.info(
            'weights version reported by another daemon',
            extra={
                'model': model,
                'version': named.version,
                'seconds_ago': now - named.seen_at,
                'observed': named.observed,
                'told_by': named.told_by,
                'assumed_seconds_ago': before and now - before.seen_at,
            },
        )
