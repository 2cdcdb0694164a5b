"""Reads the rows that operators write into a daemon's state."""

import logging
from typing import Final

import msgspec

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.fleet_updates import (
    note_desired,
    note_weights,
    note_withdrawals,
)
from ragwortcourse.identifiers import FailureDomainName, ModelName
from ragwortcourse.platform import names
from ragwortcourse.platform.desired_states import decode_desired_state
from ragwortcourse.platform.feed import TableReader
from ragwortcourse.platform.store_row import StoreRow

# What a daemon finds at its start may have been written any time ago; it
# is taken to be about as old as a start takes.
UNREAD_SECONDS: Final = 3.0

LOGGER: Final = logging.getLogger(__name__)


class WireVersion(msgspec.Struct, kw_only=True):
    """New weights of a model."""

    model: str
    version: int


def build_operator_reader(state: FleetState) -> TableReader:
    """Reader of the operators' table."""

    def replace(rows: tuple[StoreRow, ...]) -> None:
        present = {row.key for row in rows}
        kept = {
            domain
            for domain in state.withdrawn
            if f'{names.EVACUATION_PREFIX}{domain}' in present
        }
        note_withdrawals(state, frozenset(kept))
        change(rows, UNREAD_SECONDS)

    def change(rows: tuple[StoreRow, ...], age: float) -> None:
        for row in rows:
            try:
                _apply(state, row, age)
            except (msgspec.DecodeError, ValueError) as error:
                LOGGER.warning(
                    'unreadable row of the operators',
                    extra={'row': row.key, 'detail': str(error)},
                )

    def confirm(sent_at: float) -> None:
        state.confirmed_at = max(state.confirmed_at, sent_at)

    def regain() -> None:
        """Nothing lapses in this table."""

    return TableReader(
        replace=replace, change=change, confirm=confirm, regain=regain
    )


def _apply(state: FleetState, row: StoreRow, age: float) -> None:
    if row.key.startswith(names.EVACUATION_PREFIX):
        domain = FailureDomainName(
            row.key.removeprefix(names.EVACUATION_PREFIX)
        )
        if row.content is None:
            note_withdrawals(state, state.withdrawn - {domain})
        else:
            note_withdrawals(state, state.withdrawn | {domain})
    elif row.content is None:
        LOGGER.warning('row of the operators is gone', extra={'row': row.key})
    elif row.key == names.DESIRED_KEY:
        note_desired(state, decode_desired_state(row.content))
    elif row.key.startswith(names.VERSION_PREFIX):
        wire = msgspec.json.decode(row.content, type=WireVersion)
        note_weights(state, ModelName(wire.model), wire.version, age)
