"""Sharing of crashing requests among all entry daemons, in one row."""

import asyncio
import logging
from typing import Final

import msgspec

from ragwortcourse.decoding import decode_json
from ragwortcourse.entry.crashers import (
    EVIDENCE_LIMIT,
    CrasherRegistry,
    CrashRecord,
)
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.messages.shared_crasher import SharedCrasher
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    RowRead,
    TableKey,
)
from ragwortcourse.unreadable import UnreadableError

CRASHERS_KEY: Final = TableKey('crashers')
SPREAD_PERIOD_SECONDS: Final = 2.0
_JITTER: Final = 0.2

LOGGER: Final = logging.getLogger(__name__)


class SharedCrashers(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the shared row."""

    crashers: tuple[SharedCrasher, ...] = ()


async def sync_crashers(entry: EntryState) -> None:
    """Sync local evidence and the shared row periodically, forever."""
    while True:
        jitter = entry.rng.uniform(1 - _JITTER, 1 + _JITTER)
        await asyncio.sleep(SPREAD_PERIOD_SECONDS * jitter)
        await sync_crashers_once(entry)


async def sync_crashers_once(entry: EntryState) -> None:
    """Merge the shared row and local evidence, in both directions.

    A write that loses a race is not repeated; the next sync repeats it.
    """
    outcome = await entry.table.read(CRASHERS_KEY)
    if not isinstance(outcome, RowRead):
        return
    version = ABSENT_VERSION
    content = msgspec.json.encode(SharedCrashers())
    if outcome.row is not None:
        version = outcome.row.version
        content = outcome.row.content
        merge_shared(entry.crashers, content)
    merged = msgspec.json.encode(share_crashers(entry.crashers))
    if merged != content:
        write = ConditionalWrite(
            key=CRASHERS_KEY, content=merged, expected_version=version
        )
        await entry.table.commit((write,))


def merge_shared(crashers: CrasherRegistry, content: bytes) -> None:
    """Merge the content of the shared row into local evidence.

    An odd row holds none, and is written anew.
    """
    try:
        shared = decode_json(content, SharedCrashers)
    except UnreadableError as error:
        LOGGER.warning(
            'unreadable row of crashing requests',
            extra={'row': CRASHERS_KEY, 'detail': str(error)},
        )
        return
    for one in shared.crashers:
        merge_crasher(crashers, one)


def merge_crasher(crashers: CrasherRegistry, one: SharedCrasher) -> None:
    """Merge shared evidence against one request into local evidence."""
    crashers.record_crashes(one.fingerprint, one.account, *one.targets)
    if one.released:
        crashers.release_from(one.fingerprint, one.account, set(one.released))


def share_crashers(crashers: CrasherRegistry) -> SharedCrashers:
    """Build the shared content from local evidence worth sharing.

    The order is deterministic, so that daemons with equal evidence write
    equal content.
    """
    settled = sorted(crashers.list_shareable().items())
    return SharedCrashers(
        crashers=tuple(
            build_shared_crasher(fingerprint, evidence)
            for fingerprint, evidence in settled[:EVIDENCE_LIMIT]
        )
    )


def build_shared_crasher(
    fingerprint: str, evidence: CrashRecord
) -> SharedCrasher:
    """Build the shared evidence against one request, targets sorted."""
    return SharedCrasher(
        fingerprint=fingerprint,
        account=evidence.account,
        targets=tuple(sorted(evidence.targets)),
        released=tuple(sorted(evidence.released)),
    )
