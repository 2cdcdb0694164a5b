"""Handler that applies the rows of targets to the state of a daemon."""

import logging
from typing import Final

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.identifiers import (
    FailureDomainName,
    RegionName,
    ServiceName,
    TargetName,
)
from ragwortcourse.platform import names
from ragwortcourse.platform.feed import TableHandler, TableSource
from ragwortcourse.platform.store_row import StoreRow, StoreRows
from ragwortcourse.platform.target_rows import decode_target
from ragwortcourse.settings import FleetSettings
from ragwortcourse.unreadable import UnreadableError

LOGGER: Final = logging.getLogger(__name__)


def build_target_handler(
    targets: TargetList, regions: dict[FailureDomainName, RegionName]
) -> TableHandler:
    """Build the handler of the table of targets.

    A row that can't be read names no target: one that was listed gets no new
    requests, as it may be leaving, until its row can be read again. Requests
    that it has already are not touched.
    """

    def replace(rows: tuple[StoreRow, ...], age: float) -> None:
        targets.apply_full_list({TargetName(row.key) for row in rows})
        take(rows)

    def change(rows: tuple[StoreRow, ...], age: float, gap: float) -> None:
        take(rows)

    def take(rows: tuple[StoreRow, ...]) -> None:
        for row in rows:
            name = TargetName(row.key)
            if row.content is None:
                targets.note_missing(name)
                continue
            try:
                target = decode_target(row.key, row.content, regions)
            except UnreadableError as error:
                LOGGER.warning(
                    'unreadable target row; target not listed',
                    extra={'row': row.key, 'detail': str(error)},
                )
                targets.remove(name)
            else:
                targets.note_target(target)

    def confirm(sent_at: float) -> None:
        targets.note_read()

    def lose(seconds: float) -> None:
        """Do nothing: the known targets are kept."""

    return TableHandler(
        replace=replace,
        change=change,
        confirm=confirm,
        lose=lose,
        restore=targets.note_store_back,
        regain=targets.note_store_back,
        lapses=True,
    )


async def read_service(
    source: TableSource, service: ServiceName, fleet: FleetSettings
) -> tuple[Target, ...]:
    """Read the targets of a service; empty if the source fails."""
    answer = await source.read_table(names.TARGETS_TABLE)
    if not isinstance(answer, StoreRows):
        LOGGER.info('targets not read', extra={'detail': str(answer)})
        return ()
    state = FleetState()
    reader = build_target_handler(
        TargetList(state=state), fleet.failure_domains
    )
    reader.replace(answer.rows, answer.known_age)
    return tuple(
        target for target in state.targets.values() if target.service == service
    )
