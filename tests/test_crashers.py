"""Tests of :mod:`ragwortcourse.entry.crashers` and their spread."""

import msgspec
import pytest

from fakes.entries import make_entry, make_model_call, make_record
from fakes.faults import Fault, Faults
from fakes.memory_table import MemoryRows
from fakes.scripted_agents import ScriptedAgents, Turn
from ragwortcourse.entry.crasher_spread import spread_once
from ragwortcourse.entry.entry import Entry
from ragwortcourse.identifiers import TargetName
from tests.test_calls import collect

pytestmark = pytest.mark.looptime

REFUSED = 'not_run crashing_request'
TARGETS = ('one', 'two', 'three', 'four')


class CrashSite:
    """Targets that die of what they get, and daemons before them."""

    def __init__(self, *, targets: int) -> None:
        self.rows = MemoryRows()
        self.agents = ScriptedAgents()
        self.names = TARGETS[:targets]
        for name in self.names:
            self.agents.script(name, Turn.CRASH)

    def make_entry(self, daemon: str, faults: Faults | None = None) -> Entry:
        """One entry daemon with records of its own."""
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
    """A request that takes down each target that runs it."""

    async def test_second_target_is_the_last(self):
        """Two targets die; the request and its resends reach no third."""
        site = CrashSite(targets=4)
        entry = site.make_entry('a')
        told = await collect(entry, make_model_call())
        assert told == 'unknown target_lost'
        assert await collect(entry, make_model_call('r2')) == REFUSED
        assert len(site.agents.ran) == 2
        assert [one.suspect for _, one in site.agents.sent] == [False, True]

    async def test_other_daemons_refuse_it_too(self):
        """Another daemon refuses the resend once it has read the row."""
        site = CrashSite(targets=4)
        first, second = site.make_entry('a'), site.make_entry('b')
        await collect(first, make_model_call())
        await spread_once(first)
        await spread_once(second)
        assert await collect(second, make_model_call('r2')) == REFUSED
        assert len(site.agents.ran) == 2

    async def test_statuses_tell_while_the_table_is_down(self):
        """Agents' words suffice where the table can't be read."""
        site = CrashSite(targets=4)
        entry = site.make_entry('a', Faults(fault=Fault.DOWN))
        await collect(site.make_entry('b'), make_model_call())
        fingerprint = site.agents.sent[0][1].fingerprint
        for record in entry.directory.records[:2]:
            assert record.status is not None
            record.status = msgspec.structs.replace(
                record.status, suspects=(fingerprint,)
            )
        await spread_once(entry)
        assert await collect(entry, make_model_call('r2')) == REFUSED

    async def test_innocent_request_is_acquitted(self):
        """A request that was there when a target died runs elsewhere."""
        site = CrashSite(targets=1)
        entry = site.make_entry('a')
        for near, far in (('one', 'two'), ('three', 'four')):
            site.agents.script(near, Turn.CRASH)
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
        """An operator's release lets it run again, at all daemons."""
        site = CrashSite(targets=2)
        first, second = site.make_entry('a'), site.make_entry('b')
        await collect(first, make_model_call())
        for entry in (first, second):
            await spread_once(entry)
        (crasher,) = second.crashers.list_crashers().crashers
        assert second.crashers.release(crasher.fingerprint)
        for entry in (second, first):
            await spread_once(entry)
            assert not entry.crashers.list_crashers().crashers
        assert await collect(first, make_model_call('r2')) == 'whole'
