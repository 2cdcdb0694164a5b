"""Handler that applies the operators' rows to the state of a daemon."""

import functools
import logging
import math
from collections.abc import Callable
from typing import Final

import msgspec

from ragwortcourse.bounded import WholeNumber
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.fleet_updates import (
    note_desired,
    note_found_weights,
    note_weights,
    note_withdrawals,
)
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.identifiers import FailureDomainName, ModelName
from ragwortcourse.platform import names
from ragwortcourse.platform.desired_states import decode_desired_state
from ragwortcourse.platform.feed import TableHandler
from ragwortcourse.platform.store_row import StoreRow
from ragwortcourse.settings import FleetSettings
from ragwortcourse.unreadable import UnreadableError

SECONDS_PER_MILLISECOND: Final = 0.001
# Time from the start of the process to that of the handler on a slow host.
START_SECONDS: Final = 0.5
# Longer than a call and the pause after it. After such a gap a version may
# have been announced and replaced without having been read.
GAP_SECONDS: Final = 1.5
# Time from the moment the store is reachable again to its next answer: a
# call that times out, and the pause after it.
REGAIN_SECONDS: Final = 2.5

NoteWeights = Callable[[FleetState, ModelName, AnnouncedVersion], None]

LOGGER: Final = logging.getLogger(__name__)


class WireVersion(msgspec.Struct, kw_only=True):
    """Announced weights version of a model."""

    model: str
    version: WholeNumber


def build_operator_handler(
    state: FleetState, fleet: FleetSettings
) -> TableHandler:
    """Build the handler of the operators' table.

    The table holds only the newest version of each model. A version found at
    the start, or after a gap in reading, may have been announced at any time,
    and other versions before it. The handler assumes an age at which the
    version becomes due when the fleet's bounds on versions begin to apply to
    the daemon.

    A row that can't be read changes nothing: what it said before stays in
    force until it can be read again, and the log names the row.
    """
    assumed_initial_age = (
        max(fleet.version_ms - fleet.contact_ms, 0) * SECONDS_PER_MILLISECOND
    )
    started_at = read_clock_with_suspend() - START_SECONDS

    def replace(rows: tuple[StoreRow, ...], age: float) -> None:
        present = {row.key for row in rows}
        kept = {
            domain
            for domain in state.withdrawn
            if f'{names.EVACUATION_PREFIX}{domain}' in present
        }
        note_withdrawals(state, frozenset(kept))
        take(rows, age, note_found_weights)

    def change(rows: tuple[StoreRow, ...], age: float, gap: float) -> None:
        longest = REGAIN_SECONDS + assumed_initial_age
        complete_at = read_clock_with_suspend() - min(gap, longest)
        take(
            rows, age, functools.partial(note_weights, complete_at=complete_at)
        )

    def take(rows: tuple[StoreRow, ...], age: float, note: NoteWeights) -> None:
        now = read_clock_with_suspend()
        is_first = math.isinf(state.versions_complete_since)
        observed = age <= GAP_SECONDS
        assumed_since = started_at if is_first else now - REGAIN_SECONDS
        if not observed:
            state.versions_complete_since = now
            age = min(age, now - assumed_since + assumed_initial_age)
        for row in rows:
            try:
                _apply(state, row, note, now - age, observed=observed)
            except UnreadableError as error:
                LOGGER.warning(
                    'unreadable operator row ignored',
                    extra={'row': row.key, 'detail': str(error)},
                )

    def regain(seconds_ago: float, unreached_ago: float) -> None:
        """Do nothing: rows of this table do not expire."""

    return TableHandler(
        replace=replace,
        change=change,
        confirm=functools.partial(_confirm, state, fleet),
        lose=functools.partial(_note_lost, state, fleet),
        restore=functools.partial(_note_restored, state, fleet),
        regain=regain,
    )


def _confirm(state: FleetState, fleet: FleetSettings, sent_at: float) -> None:
    state.store_lost = False
    is_complete = read_clock_with_suspend() >= state.restored_until
    if is_complete or not fleet.strict_revocation:
        state.confirmed_at = max(state.confirmed_at, sent_at)


def _note_lost(state: FleetState, fleet: FleetSettings, seconds: float) -> None:
    now = read_clock_with_suspend()
    state.store_lost = True
    state.store_failed_at = now - seconds
    if now < state.restored_until:
        # The operators can't write while the store is away.
        _note_restored(state, fleet)


def _note_restored(state: FleetState, fleet: FleetSettings) -> None:
    """Confirm no key until revocations can have been written again."""
    state.restored_until = (
        read_clock_with_suspend() + fleet.contact_ms * SECONDS_PER_MILLISECOND
    )


def _apply(
    state: FleetState,
    row: StoreRow,
    note: NoteWeights,
    seen_at: float,
    *,
    observed: bool,
) -> None:
    if row.key.startswith(names.EVACUATION_PREFIX):
        domain = FailureDomainName(
            row.key.removeprefix(names.EVACUATION_PREFIX)
        )
        if row.content is None:
            note_withdrawals(state, state.withdrawn - {domain})
        else:
            note_withdrawals(state, state.withdrawn | {domain})
    elif row.content is None:
        LOGGER.warning(
            'operator row deleted; its last value is kept',
            extra={'row': row.key},
        )
    elif row.key == names.DESIRED_KEY:
        note_desired(state, decode_desired_state(row.content))
    elif row.key.startswith(names.VERSION_PREFIX):
        wire = decode_json(row.content, WireVersion)
        named = AnnouncedVersion(
            version=wire.version, seen_at=seen_at, observed=observed
        )
        note(state, ModelName(wire.model), named)
