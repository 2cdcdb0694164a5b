"""How often daemons exchange the rows of a table, and how old these get."""

import dataclasses
from typing import Final

from ragwortcourse.platform import names
from ragwortcourse.platform.relay_rows import TABLE as DAEMONS_TABLE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablePace:
    """How daemons exchange the rows of a table.

    :param table: name of the table in the store.
    :param path: path of the rows at a daemon.
    :param wait: seconds that a call to a reader waits for a change.
    :param due_age: age in seconds at which a daemon has its rows confirmed. A
        change that nobody passes on is found by then, and a little later if
        readers have lost the store or fall silent.
    :param overdue_age: age in seconds at which a daemon that calls the store
        confirms its rows besides, as the answer of its call may be lost.
    :param longest_age: age of the rows in seconds, above which a reader does
        not pass them on, changes included; longer than its own call to the
        store.
    """

    table: str
    path: str
    wait: float
    due_age: float
    overdue_age: float
    longest_age: float


# A target that leaves gets no new requests after 2 s and more.
TARGETS_WAIT_SECONDS: Final = 1.0
TARGETS_DUE_SECONDS: Final = 1.0
TARGETS_OVERDUE_SECONDS: Final = 1.5
TARGETS_LONGEST_AGE_SECONDS: Final = 6.0
TARGETS_PACE: Final = TablePace(
    table=names.TARGETS_TABLE,
    path='/targets',
    wait=TARGETS_WAIT_SECONDS,
    due_age=TARGETS_DUE_SECONDS,
    overdue_age=TARGETS_OVERDUE_SECONDS,
    longest_age=TARGETS_LONGEST_AGE_SECONDS,
)
# Daemons rarely come and go; a stale entry costs one failed connection.
DAEMONS_WAIT_SECONDS: Final = 8.0
DAEMONS_LONGEST_AGE_SECONDS: Final = 15.0
DAEMONS_PACE: Final = TablePace(
    table=DAEMONS_TABLE,
    path='/daemons',
    wait=DAEMONS_WAIT_SECONDS,
    due_age=DAEMONS_LONGEST_AGE_SECONDS,
    overdue_age=DAEMONS_LONGEST_AGE_SECONDS,
    longest_age=DAEMONS_LONGEST_AGE_SECONDS,
)
