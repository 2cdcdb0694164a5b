"""Tests of :mod:`ragwortcourse.entry.crashers` and of sharing evidence."""

import asyncio

import msgspec
import pytest

from fakes.entries import make_entry, make_model_call, make_record
from fakes.faults import Fault, Faults
from fakes.memory_table import MemoryRows
from fakes.scripted_agents import ScriptedAgents, ScriptedResult
from ragwortcourse.clock import read_clock
from ragwortcourse.crashes.evidence_store import SUSPICION_SECONDS
from ragwortcourse.entry.crash_notice import MAX_ANSWER_DELAY_SECONDS
from ragwortcourse.entry.crasher_peers import (
    SendCrasher,
    build_crasher_broadcast,
)
from ragwortcourse.entry.crasher_sync import (
    CRASHERS_KEY,
    merge_crasher,
    sync_crashers_once,
)
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.entry.suspicion_rows import (
    build_suspicion_key,
    clear_suspicion,
)
from ragwortcourse.identifiers import TargetName
from ragwortcourse.messages.shared_crasher import SharedCrasher
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    Row,
    TableKey,
)
from tests.test_calls import collect

pytestmark = pytest.mark.looptime

ODD = [b'odd', b'{"a":%s}' % (b'[' * 100_000)]
REFUSED = 'not_run crashing_request'
UNREADABLE = (b'', b'[]', b'{"x":' + b'[' * 100_000)
TARGET_NAMES = ('one', 'two', 'three', 'four')


def build_local_tell(entry: EntryState) -> SendCrasher:
    """Build the sender of evidence to a daemon in this process."""

    async def tell(address: str, crasher: SharedCrasher) -> None:
        merge_crasher(entry.crashers, crasher)

    return tell


def write_row(rows: MemoryRows, key: TableKey, content: bytes) -> None:
    """Write a row, whatever it holds."""
    found = rows.read(key)
    version = ABSENT_VERSION if found is None else found.version
    rows.commit(
        (ConditionalWrite(key=key, content=content, expected_version=version),)
    )


class CrashSite:
    """Scripted crashing targets and the entry daemons that use them."""

    def __init__(
        self, *, targets: int, turn: ScriptedResult = ScriptedResult.CRASH
    ) -> None:
        self.rows = MemoryRows()
        self.agents = ScriptedAgents()
        self.names = TARGET_NAMES[:targets]
        for name in self.names:
            self.agents.script(name, turn)

    def make_peers(
        self, fault: Fault | None = None
    ) -> tuple[EntryState, EntryState]:
        """Build two entry daemons that know of each other."""
        faults = Faults(fault=fault, seconds=3600 if fault else 0)
        first = self.make_entry('a', faults)
        second = self.make_entry('b', faults)
        for one, other in ((first, second), (second, first)):
            one.broadcast_crasher = build_crasher_broadcast(
                send=build_local_tell(other), list_addresses=lambda: ('peer',)
            )
        return first, second

    def make_entry(
        self, daemon: str, faults: Faults | None = None
    ) -> EntryState:
        """Build one entry daemon with its own target records."""
        records = [
            make_record(name, deployment='caption-llm') for name in self.names
        ]
        return make_entry(
            self.agents.build_port(),
            *records,
            rows=self.rows,
            faults=faults,
            daemon=daemon,
        )


class TestCrashingRequest:
    """Requests that crash the targets that run them."""

    async def test_second_target_is_the_last(self):
        """After two crashes, request and resends reach no third target."""
        site = CrashSite(targets=4)
        entry = site.make_entry('a')
        told = await collect(entry, make_model_call())
        assert told == 'unknown target_lost'
        assert await collect(entry, make_model_call('r2')) == REFUSED
        assert len(site.agents.ran) == 2
        assert [one.suspect for _, one in site.agents.sent] == [False, True]

    @pytest.mark.parametrize('fault', [None, Fault.DOWN])
    async def test_resend_elsewhere_right_after_the_second(self, fault):
        """Another daemon refuses resends at once, with or without table."""
        site = CrashSite(targets=4)
        first, second = site.make_peers(fault)
        await collect(first, make_model_call())
        assert await collect(second, make_model_call('r2')) == REFUSED
        assert len(site.agents.ran) == 2

    async def test_deaths_in_mid_stream_at_two_daemons(self):
        """Two mid-stream crashes seen by different daemons suffice."""
        site = CrashSite(targets=4, turn=ScriptedResult.CRASH_LATER)
        first, second = site.make_peers()
        assert await collect(first, make_model_call()) == 'broken'
        assert await collect(second, make_model_call('r2')) == 'broken'
        for entry in (first, second):
            assert await collect(entry, make_model_call('r3')) == REFUSED
        assert len(site.agents.ran) == 2

    async def test_table_that_hangs_holds_no_caller_up(self):
        """An answer waits at most a tenth of a second for each crash notice."""
        site = CrashSite(targets=4)
        (entry, _) = site.make_peers(Fault.SLOW)
        sent_at = read_clock()
        await collect(entry, make_model_call(time_left=60))
        assert read_clock() - sent_at <= 2 * MAX_ANSWER_DELAY_SECONDS

    async def test_break_with_the_target_alive_accuses_nobody(self):
        """A stream that breaks while its target stays up counts as no crash."""
        site = CrashSite(targets=4, turn=ScriptedResult.SHORT)
        entry = site.make_entry('a')
        for number in range(3):
            told = await collect(entry, make_model_call(f'r{number}'))
            assert told == 'broken'
        assert not site.rows.commits

    async def test_suspicion_of_an_old_row_lapses(self):
        """Another daemon ignores a crash older than ``SUSPICION_SECONDS``."""
        site = CrashSite(targets=4, turn=ScriptedResult.CRASH_LATER)
        first, second = site.make_peers()
        assert await collect(first, make_model_call()) == 'broken'
        await asyncio.sleep(SUSPICION_SECONDS + 1)
        assert await collect(second, make_model_call('r2')) == 'broken'
        assert not second.crashers.list_crashers().crashers

    async def test_other_daemons_refuse_it_too(self):
        """Another daemon refuses the resend after it reads the shared row."""
        site = CrashSite(targets=4)
        first, second = site.make_entry('a'), site.make_entry('b')
        await collect(first, make_model_call())
        await sync_crashers_once(first)
        await sync_crashers_once(second)
        assert await collect(second, make_model_call('r2')) == REFUSED
        assert len(site.agents.ran) == 2

    @pytest.mark.parametrize('content', ODD)
    async def test_odd_row_of_crashers_ends_the_daemon(self, content, caplog):
        """The row is logged and written anew from what this daemon knows."""
        site = CrashSite(targets=4)
        first, second = site.make_entry('a'), site.make_entry('b')
        site.rows.rows[CRASHERS_KEY] = Row(
            key=CRASHERS_KEY, version=1, content=content
        )
        await collect(first, make_model_call())
        await sync_crashers_once(first)
        assert 'unreadable row of crashing requests' in caplog.text
        await sync_crashers_once(second)
        assert await collect(second, make_model_call('r2')) == REFUSED

    @pytest.mark.parametrize('content', ODD)
    async def test_odd_row_of_suspicions_stays(self, content, caplog):
        """The row is logged and written anew."""
        site = CrashSite(targets=1)
        key = build_suspicion_key('ab')
        site.rows.rows[key] = Row(key=key, version=1, content=content)
        await clear_suspicion(site.make_entry('a'), 'ab')
        assert 'unreadable row of suspicions' in caplog.text
        assert site.rows.rows[key].content == b'{"suspicions":[]}'

    async def test_statuses_tell_while_the_table_is_down(self):
        """Suspects in target statuses suffice if the table can't be read."""
        site = CrashSite(targets=4)
        entry = site.make_entry('a', Faults(fault=Fault.DOWN))
        await collect(site.make_entry('b'), make_model_call())
        fingerprint = site.agents.sent[0][1].fingerprint
        for record in entry.directory.records[:2]:
            assert record.status is not None
            record.status = msgspec.structs.replace(
                record.status, suspects=(fingerprint,)
            )
        await sync_crashers_once(entry)
        assert await collect(entry, make_model_call('r2')) == REFUSED

    async def test_innocent_request_is_acquitted(self):
        """A request that ran while a target crashed may still run elsewhere.

        A complete answer clears the suspicion, so that a later unrelated
        crash does not get the request refused.
        """
        site = CrashSite(targets=1)
        entry = site.make_entry('a')
        for near, far in (('one', 'two'), ('three', 'four')):
            site.agents.script(near, ScriptedResult.CRASH)
            for name, domain in ((near, 'attica-a'), (far, 'crete-a')):
                entry.directory.put(
                    make_record(
                        name, deployment='caption-llm', failure_domain=domain
                    )
                )
            assert await collect(entry, make_model_call(near)) == 'whole'
            for name in (near, far):
                entry.directory.drop(TargetName(name))

    async def test_released_at_every_daemon(self):
        """An operator's release allows the request again at all daemons."""
        site = CrashSite(targets=2)
        first, second = site.make_entry('a'), site.make_entry('b')
        await collect(first, make_model_call())
        for entry in (first, second):
            await sync_crashers_once(entry)
        (crasher,) = second.crashers.list_crashers().crashers
        assert second.crashers.release(crasher.fingerprint)
        for entry in (second, first):
            await sync_crashers_once(entry)
            assert not entry.crashers.list_crashers().crashers
        assert await collect(first, make_model_call('r2')) == 'whole'


class TestUnreadableRows:
    """Rows in the table that hold no evidence."""

    @pytest.mark.parametrize('content', UNREADABLE)
    async def test_shared_row_is_replaced(self, content):
        """Daemons go on, and share their evidence in place of the row."""
        site = CrashSite(targets=4)
        first, second = site.make_entry('a'), site.make_entry('b')
        write_row(site.rows, CRASHERS_KEY, content)
        await collect(first, make_model_call())
        await sync_crashers_once(first)
        await sync_crashers_once(second)
        assert await collect(second, make_model_call('r2')) == REFUSED

    @pytest.mark.parametrize('content', UNREADABLE)
    async def test_suspicion_row_is_replaced(self, content):
        """A first crash is noted in place of the row."""
        site = CrashSite(targets=3, turn=ScriptedResult.CRASH_LATER)
        entries = [site.make_entry(daemon) for daemon in 'abc']
        for entry, own in zip(entries, site.names, strict=True):
            for name in set(site.names) - {own}:
                entry.directory.drop(TargetName(name))
        assert await collect(entries[0], make_model_call()) == 'broken'
        (key,) = site.rows.rows
        write_row(site.rows, key, content)
        for entry in entries[1:]:
            assert await collect(entry, make_model_call('r2')) == 'broken'
        assert await collect(entries[2], make_model_call('r3')) == REFUSED
