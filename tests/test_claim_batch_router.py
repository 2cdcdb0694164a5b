"""Tests of :mod:`ragwortcourse.entry.claim_batch_router` and its batcher."""

import asyncio

import pytest

from fakes.entries import make_booking_call, make_entry, make_record
from fakes.faults import Fault, Faults
from fakes.memory_table import MemoryRows, build_memory_table
from fakes.scripted_agents import ScriptedAgents
from ragwortcourse.entry.claim_batch_router import (
    ClaimBatchRouter,
    build_claim_report,
    convert_claim_report,
    rank_batcher,
)
from ragwortcourse.entry.claim_batcher import ClaimBatcher
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    HostName,
    RegionName,
)
from ragwortcourse.membership.hosts import HostRecord, HostRole
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    CommitOutcome,
    Committed,
    CommitUnknown,
    ConditionalWrite,
    ConditionFailed,
    TableKey,
)
from tests.test_calls import collect

pytestmark = pytest.mark.looptime

DOMAIN = FailureDomainName('attica-a')


def make_write(key: str, content: bytes = b'x') -> ConditionalWrite:
    """Build a conditional write of a claim on a key."""
    return ConditionalWrite(
        key=TableKey(key), content=content, expected_version=ABSENT_VERSION
    )


class BatchedDaemons:
    """Entry daemons of one failure domain, connected in process.

    :ivar lost: true while batching daemons write but their answers are lost.
    :ivar asked: number of claims sent to batching daemons.
    """

    def __init__(self, *, count: int) -> None:
        self.rows = MemoryRows()
        self.agents = ScriptedAgents()
        self.lost = False
        self.asked = 0
        names = [DaemonId(f'entry-{number}') for number in range(count)]
        self.peers = [
            HostRecord(
                host=HostName(name),
                role=HostRole.ENTRY,
                daemon=name,
                address=name,
                failure_domain=DOMAIN,
                region=RegionName('south'),
            )
            for name in names
        ]
        self.entries = {name: self._make_entry(name) for name in names}

    def _make_entry(self, name: DaemonId) -> EntryState:
        entry = make_entry(
            self.agents.build_port(),
            make_record('near', limit=1000),
            rows=self.rows,
            daemon=name,
        )
        entry.claim_batch_router = ClaimBatchRouter(
            daemon=name,
            failure_domain=DOMAIN,
            batcher=entry.claim_batcher,
            list_peers=lambda: [
                peer for peer in self.peers if peer.daemon != name
            ],
            send=self.ask,
        )
        return entry

    async def ask(self, address: str, write: ConditionalWrite) -> CommitOutcome:
        """Send a write to a batching daemon, as over HTTP."""
        self.asked += 1
        batcher = self.entries[DaemonId(address)].claim_batcher
        outcome = await batcher.commit(write)
        if self.lost:
            return CommitUnknown(detail='answer lost')
        return convert_claim_report(write.key, build_claim_report(outcome))


class TestCollector:
    """Claims in shared transactions."""

    async def test_one_refused_claim_does_not_fail_the_others(self):
        """Only the claim on a taken key fails; the others are written."""
        rows = MemoryRows()
        table = build_memory_table(rows=rows, faults=Faults())
        await table.commit((make_write('taken', b'first'),))
        batcher = ClaimBatcher(table=table)
        keys = ['first', 'a', 'taken', 'b', 'a']
        outcomes = await asyncio.gather(
            *(batcher.commit(make_write(key)) for key in keys)
        )
        kinds = [type(outcome) for outcome in outcomes]
        assert kinds == [
            Committed,
            Committed,
            ConditionFailed,
            Committed,
            ConditionFailed,
        ]
        assert isinstance(outcomes[2], ConditionFailed)
        assert outcomes[2].rows[0] == rows.rows[TableKey('taken')]

    async def test_lone_claim_does_not_wait(self):
        """A single claim is written without waiting for a batch."""
        table = build_memory_table(rows=MemoryRows(), faults=Faults())
        batcher = ClaimBatcher(table=table)
        started_at = asyncio.get_running_loop().time()
        await batcher.commit(make_write('a'))
        assert asyncio.get_running_loop().time() == started_at

    async def test_lost_answer_is_told_to_every_claimer(self):
        """If the table's answer is lost, every claim's outcome is unknown."""
        faults = Faults(fault=Fault.ANSWER_LOST)
        table = build_memory_table(rows=MemoryRows(), faults=faults)
        batcher = ClaimBatcher(table=table)
        outcomes = await asyncio.gather(
            *(batcher.commit(make_write(key)) for key in 'abc')
        )
        assert {type(outcome) for outcome in outcomes} == {CommitUnknown}


class TestHelper:
    """One daemon of a failure domain batches the claims of all."""

    async def test_few_transactions_for_many_daemons(self):
        """Forty concurrent claims of forty daemons take few transactions."""
        site = BatchedDaemons(count=40)
        results = await asyncio.gather(
            *(
                collect(entry, make_booking_call(key=name))
                for name, entry in site.entries.items()
            )
        )
        assert set(results) == {'whole'}
        assert site.rows.commits <= 4
        await asyncio.sleep(1)
        # The results were batched too.
        assert site.rows.commits <= 8
        assert site.asked == 2 * (len(site.entries) - 1)

    async def test_silent_helper_is_passed_by(self):
        """Lost answers of the batching daemon neither stop nor repeat work."""
        site = BatchedDaemons(count=3)
        site.lost = True
        batcher = max(site.entries, key=lambda name: rank_batcher(DOMAIN, name))
        (name, *_) = (one for one in site.entries if one != batcher)
        for number in range(3):
            call = make_booking_call(key=f'k{number}')
            assert await collect(site.entries[name], call) == 'whole'
        assert len(site.agents.ran) == 3
        # A silent batching daemon is bypassed, so not every call asks it.
        assert site.asked <= 2
