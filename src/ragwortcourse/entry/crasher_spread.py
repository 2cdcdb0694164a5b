"""Spread of crashing requests to all entry daemons, by one row."""

import asyncio
from typing import Final

import msgspec

from ragwortcourse.entry.crashers import EVIDENCE_LIMIT, Crashers
from ragwortcourse.entry.entry import Entry
from ragwortcourse.identifiers import ClientAccountName, TargetName
from ragwortcourse.platform.table import (
    ABSENT,
    ConditionalWrite,
    RowRead,
    TableKey,
)

CRASHERS_KEY: Final = TableKey('crashers')
SPREAD_PERIOD_SECONDS: Final = 2.0
_JITTER: Final = 0.2


class SharedCrasher(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence against one request, as the row has it."""

    fingerprint: str
    account: ClientAccountName
    targets: tuple[TargetName, ...]
    released: tuple[TargetName, ...] = ()


class SharedCrashers(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the row."""

    crashers: tuple[SharedCrasher, ...] = ()


async def spread_crashers(entry: Entry) -> None:
    """Learn from the row and add to it, forever."""
    while True:
        jitter = entry.rng.uniform(1 - _JITTER, 1 + _JITTER)
        await asyncio.sleep(SPREAD_PERIOD_SECONDS * jitter)
        await spread_once(entry)


async def spread_once(entry: Entry) -> None:
    """Merge the row and the own evidence; a lost race is for next time."""
    outcome = await entry.table.read(CRASHERS_KEY)
    if not isinstance(outcome, RowRead):
        return
    version = ABSENT
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


def merge_shared(crashers: Crashers, content: bytes) -> None:
    """Take over the evidence of the row."""
    shared = msgspec.json.decode(content, type=SharedCrashers)
    for one in shared.crashers:
        crashers.accuse(one.fingerprint, one.account, *one.targets)
        if one.released:
            crashers.release_from(
                one.fingerprint, one.account, set(one.released)
            )


def share_crashers(crashers: Crashers) -> SharedCrashers:
    """Own settled evidence, in an order that all daemons agree on."""
    settled = sorted(crashers.list_settled().items())
    return SharedCrashers(
        crashers=tuple(
            SharedCrasher(
                fingerprint=fingerprint,
                account=evidence.account,
                targets=tuple(sorted(evidence.targets)),
                released=tuple(sorted(evidence.released)),
            )
            for fingerprint, evidence in settled[:EVIDENCE_LIMIT]
        )
    )
