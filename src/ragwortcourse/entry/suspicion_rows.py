"""Sharing of suspicions among all entry daemons, in a fixed set of rows.

A suspicion is crash evidence below the refusal threshold. The prefix of the
request's fingerprint selects the row. An entry daemon accesses a row only
after one of its requests crashed a target, or to clear a suspicion. Each
row keeps the newest suspicions and drops expired ones.
"""

import logging
from collections.abc import Callable
from typing import Final

import msgspec

from ragwortcourse.crashes.evidence_store import SUSPICION_SECONDS
from ragwortcourse.decoding import decode_json
from ragwortcourse.entry.crasher_sync import build_shared_crasher, merge_crasher
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.messages.shared_crasher import SharedCrasher
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    ConditionFailed,
    ReadFailed,
    Row,
    TableKey,
)
from ragwortcourse.unreadable import UnreadableError

PREFIX_DIGITS: Final = 2
KEPT_SUSPICIONS: Final = 32
WRITE_TRIES: Final = 4

LOGGER: Final = logging.getLogger(__name__)


class Suspicion(msgspec.Struct, frozen=True, kw_only=True):
    """Time-stamped crash evidence against one request.

    :param crasher: crash evidence against the request.
    :param at: seconds since the epoch, by the writing daemon's clock.
    """

    crasher: SharedCrasher
    at: float


class Suspicions(msgspec.Struct, frozen=True, kw_only=True):
    """Content of one row, oldest suspicion first."""

    suspicions: tuple[Suspicion, ...] = ()


def build_suspicion_key(fingerprint: str) -> TableKey:
    """Build the key of the row for a fingerprint."""
    return TableKey(f'suspicions/{fingerprint[:PREFIX_DIGITS]}')


async def share_suspicion(entry: EntryState, fingerprint: str) -> None:
    """Merge local evidence against a request with the evidence in its row."""

    def join(found: Suspicion | None) -> Suspicion | None:
        if found is not None:
            merge_crasher(entry.crashers, found.crasher)
        evidence = entry.crashers.find(fingerprint)
        if evidence is None:
            return None
        crasher = build_shared_crasher(fingerprint, evidence)
        return Suspicion(crasher=crasher, at=entry.read_wall_clock())

    await _change_row(entry, fingerprint, join)


async def clear_suspicion(entry: EntryState, fingerprint: str) -> None:
    """Remove the evidence against a request that got a complete answer."""
    await _change_row(entry, fingerprint, _drop)


def _drop(found: Suspicion | None) -> None:
    """Replace a suspicion by nothing."""


async def _change_row(
    entry: EntryState,
    fingerprint: str,
    change: Callable[[Suspicion | None], Suspicion | None],
) -> None:
    key = build_suspicion_key(fingerprint)
    outcome = await entry.table.read(key)
    if isinstance(outcome, ReadFailed):
        return
    row = outcome.row
    for _ in range(WRITE_TRIES):
        fresh = _read_fresh(entry, row)
        found = fresh.pop(fingerprint, None)
        changed = change(found)
        kept = list(fresh.values())
        if changed is not None:
            kept.append(changed)
        write = ConditionalWrite(
            key=key,
            content=msgspec.json.encode(
                Suspicions(suspicions=tuple(kept[-KEPT_SUSPICIONS:]))
            ),
            expected_version=ABSENT_VERSION if row is None else row.version,
        )
        written = await entry.commit_claim(write)
        if not isinstance(written, ConditionFailed):
            return
        row = written.rows[0]


def _read_fresh(entry: EntryState, row: Row | None) -> dict[str, Suspicion]:
    """Return a row's unexpired suspicions by fingerprint; none of an odd row.

    The odd row is then written anew.
    """
    if row is None:
        return {}
    try:
        content = decode_json(row.content, Suspicions)
    except UnreadableError as error:
        LOGGER.warning(
            'unreadable row of suspicions',
            extra={'row': row.key, 'detail': str(error)},
        )
        return {}
    since = entry.read_wall_clock() - SUSPICION_SECONDS
    return {
        one.crasher.fingerprint: one
        for one in content.suspicions
        if one.at >= since
    }
