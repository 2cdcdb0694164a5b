"""Spread of crashing requests to all entry daemons, by one row."""

import asyncio
from typing import Final

import msgspec

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

CRASHERS_KEY: Final = TableKey('crashers')
SPREAD_PERIOD_SECONDS: Final = 2.0
_JITTER: Final = 0.2


class SharedCrashers(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the row."""

    crashers: tuple[SharedCrasher, ...] = ()


async def spread_crashers(entry: EntryState) -> None:
    """Learn from the row and add to it, forever."""
    while True:
        jitter = entry.rng.uniform(1 - _JITTER, 1 + _JITTER)
        await asyncio.sleep(SPREAD_PERIOD_SECONDS * jitter)
        await sync_crashers_once(entry)


async def sync_crashers_once(entry: EntryState) -> None:
    """Merge the row and the own evidence; a lost race is for next time."""
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
    """Take over the evidence of the row."""
    shared = msgspec.json.decode(content, type=SharedCrashers)
    for one in shared.crashers:
        merge_one(crashers, one)


def merge_one(crashers: CrasherRegistry, one: SharedCrasher) -> None:
    """Take over the evidence against one request."""
    crashers.record_crashes(one.fingerprint, one.account, *one.targets)
    if one.released:
        crashers.release_from(one.fingerprint, one.account, set(one.released))


def share_crashers(crashers: CrasherRegistry) -> SharedCrashers:
    """Own settled evidence, in an order that all daemons agree on."""
    settled = sorted(crashers.list_settled().items())
    return SharedCrashers(
        crashers=tuple(
            build_shared_crasher(fingerprint, evidence)
            for fingerprint, evidence in settled[:EVIDENCE_LIMIT]
        )
    )


def build_shared_crasher(
    fingerprint: str, evidence: CrashRecord
) -> SharedCrasher:
    """Evidence against one request, in an order all daemons agree on."""
    return SharedCrasher(
        fingerprint=fingerprint,
        account=evidence.account,
        targets=tuple(sorted(evidence.targets)),
        released=tuple(sorted(evidence.released)),
    )
