"""Tests of :mod:`ragwortcourse.entry.claim_batch_router` and the collector."""

import asyncio

import pytest

from fakes.entries import make_booking_call, make_entry, make_record
from fakes.faults import Fault, Faults
from fakes.memory_table import MemoryRows, build_memory_table
from fakes.scripted_agents import ScriptedAgents
from ragwortcourse.entry.claim_batch_router import (
    ClaimBatchRouter,
    rank_helper,
    read_report,
    write_report,
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
    """A claim on a key."""
    return ConditionalWrite(
        key=TableKey(key), content=content, expected_version=ABSENT_VERSION
    )


class HelpedDaemons:
    """Entry daemons of one failure domain, and the way between them.

    :param lost: true while helpers write but their answers are lost.
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
            collector=entry.claim_batcher,
            list_peers=lambda: [
                peer for peer in self.peers if peer.daemon != name
            ],
            ask=self.ask,
        )
        return entry

    async def ask(self, address: str, write: ConditionalWrite) -> CommitOutcome:
        """Let a helper write, as over HTTP."""
        self.asked += 1
        collector = self.entries[DaemonId(address)].claim_batcher
        outcome = await collector.commit(write)
        if self.lost:
            return CommitUnknown(detail='answer lost')
        return read_report(write.key, write_report(outcome))


class TestCollector:
    """Claims in common transactions."""

    async def test_one_refused_claim_does_not_fail_the_others(self):
        """A key that is taken fails by itself; the others are written."""
        rows = MemoryRows()
        table = build_memory_table(rows=rows, faults=Faults())
        await table.commit((make_write('taken', b'first'),))
        collector = ClaimBatcher(table=table)
        keys = ['first', 'a', 'taken', 'b', 'a']
        outcomes = await asyncio.gather(
            *(collector.commit(make_write(key)) for key in keys)
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
        """A claim that comes alone is written at once."""
        table = build_memory_table(rows=MemoryRows(), faults=Faults())
        collector = ClaimBatcher(table=table)
        began = asyncio.get_running_loop().time()
        await collector.commit(make_write('a'))
        assert asyncio.get_running_loop().time() == began

    async def test_lost_answer_is_told_to_every_claimer(self):
        """Where the table's answer is lost nobody is told more than that."""
        faults = Faults(fault=Fault.ANSWER_LOST)
        table = build_memory_table(rows=MemoryRows(), faults=faults)
        collector = ClaimBatcher(table=table)
        outcomes = await asyncio.gather(
            *(collector.commit(make_write(key)) for key in 'abc')
        )
        assert {type(outcome) for outcome in outcomes} == {CommitUnknown}


class TestHelper:
    """One daemon of a failure domain writes the claims of all."""

    async def test_few_transactions_for_many_daemons(self):
        """Forty claims of forty daemons at once take few transactions."""
        site = HelpedDaemons(count=40)
        told = await asyncio.gather(
            *(
                collect(entry, make_booking_call(key=name))
                for name, entry in site.entries.items()
            )
        )
        assert set(told) == {'whole'}
        assert site.rows.commits <= 4
        await asyncio.sleep(1)
        # The results went together too.
        assert site.rows.commits <= 8
        assert site.asked == 2 * (len(site.entries) - 1)

    async def test_silent_helper_is_passed_by(self):
        """A helper whose answers are lost costs no run and no second one."""
        site = HelpedDaemons(count=3)
        site.lost = True
        helper = max(site.entries, key=lambda name: rank_helper(DOMAIN, name))
        (name, *_) = (one for one in site.entries if one != helper)
        for number in range(3):
            call = make_booking_call(key=f'k{number}')
            assert await collect(site.entries[name], call) == 'whole'
        assert len(site.agents.ran) == 3
        # Once, not for each call: it is passed by for a while.
        assert site.asked <= 2
