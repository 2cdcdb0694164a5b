"""Tests of :mod:`ragwortcourse.platform.crash_rows`."""

import json

import pytest

from fakes.crash_daemon import REQUEST, CrashDaemon, make_part
from fakes.fleet_store import FleetStore
from fakes.store_client import open_store_client
from ragwortcourse.crashes.evidence_store import SUSPICION_SECONDS
from ragwortcourse.crashes.verdict import Verdict
from ragwortcourse.platform.crash_rows import TABLE, CrashKeeper
from ragwortcourse.platform.store import Store

BAD = make_part('bad')
TARGETS = tuple('abcde')
ROW = 'part:bad'


class Stage:
    """Daemons that share a store and nothing else."""

    def __init__(self, store: Store, fake: FleetStore) -> None:
        self.fake = fake
        self._store = store

    def start(self) -> tuple[CrashDaemon, CrashKeeper]:
        """Start a daemon that knows nothing of before."""
        daemon = CrashDaemon()
        return daemon, CrashKeeper(store=self._store, guard=daemon.guard)


@pytest.fixture
async def stage():
    """Stage whose store is served until the end of the test."""
    fake = FleetStore()
    async with open_store_client(fake) as store:
        yield Stage(store, fake)


async def crash(daemon: CrashDaemon, *suspects) -> None:
    """Crash five targets, whose rows are gone."""
    for name in TARGETS:
        await daemon.lose(name, *suspects)


class TestCrashKeeper:
    """Suspects that stay refused when all daemons restart."""

    @pytest.mark.parametrize('suspect', [BAD, REQUEST])
    async def test_daemons_restarted_together_forget_crashes(
        self, stage, suspect
    ):
        """A daemon that starts after the end of all others refuses it, too."""
        daemon, keeper = stage.start()
        await crash(daemon, suspect)
        await keeper.update()
        restarted, keeper = stage.start()
        await keeper.update()
        assert restarted.guard.judge(suspect).verdict is Verdict.REFUSED
        assert restarted.admission.check([suspect]).status == 503

    async def test_cleared(self, stage):
        """An answer after a restart clears the row, too."""
        daemon, keeper = stage.start()
        await crash(daemon, BAD)
        await keeper.update()
        restarted, keeper = stage.start()
        await keeper.update()
        restarted.guard.note_answered([BAD])
        await keeper.update()
        third, keeper = stage.start()
        await keeper.update()
        assert third.guard.judge(BAD).verdict is Verdict.ALLOWED

    async def test_cleared_while_it_is_written(self, stage):
        """The daemon that wrote a row clears it after another's answer."""
        daemon, keeper = stage.start()
        await crash(daemon, BAD)
        await keeper.update()
        other, _ = stage.start()
        daemon.sender.send_round(['p'], repeats=True)
        daemon.deliver(other)
        other.guard.note_answered([BAD])
        other.sender.send_round(['p'], repeats=True)
        other.deliver(daemon)
        await keeper.update()
        third, keeper = stage.start()
        await keeper.update()
        assert third.guard.judge(BAD).verdict is Verdict.ALLOWED

    async def test_calls(self, stage):
        """Only news about refused suspects are written, once each."""
        daemon, keeper = stage.start()
        await daemon.lose('a', REQUEST, BAD)
        await keeper.update()
        assert stage.fake.read(TABLE, ROW) is None
        await crash(daemon, BAD)
        before = stage.fake.revision
        for _ in range(5):
            await keeper.update()
        assert stage.fake.revision == before + 1
        daemon.guard.note_sent([BAD])
        await keeper.update()
        assert stage.fake.revision == before + 2
        for _ in range(5):
            daemon.guard.note_answered([BAD])
            await keeper.update()
        assert stage.fake.revision == before + 3

    async def test_store_away(self, stage):
        """Rows are read and written once the store is back."""
        daemon, keeper = stage.start()
        await crash(daemon, BAD)
        stage.fake.down = True
        await keeper.update()
        stage.fake.down = False
        await keeper.update()
        restarted, keeper = stage.start()
        stage.fake.down = True
        await keeper.update()
        assert restarted.guard.judge(BAD).verdict is Verdict.ALLOWED
        stage.fake.down = False
        await keeper.update()
        assert restarted.guard.judge(BAD).verdict is Verdict.REFUSED

    async def test_old_row(self, stage):
        """A row whose refusal has ended is removed."""
        daemon, keeper = stage.start()
        await crash(daemon, BAD)
        await keeper.update()
        row = json.loads(stage.fake.read(TABLE, ROW))
        row['written_at'] -= SUSPICION_SECONDS + 1
        stage.fake.put(TABLE, ROW, row)
        restarted, keeper = stage.start()
        await keeper.update()
        assert restarted.guard.judge(BAD).verdict is Verdict.ALLOWED
        assert stage.fake.read(TABLE, ROW) is None

    @pytest.mark.parametrize(
        'content',
        [b'odd', b'{"other":%s}' % (b'[' * 100_000 + b']' * 100_000)],
    )
    async def test_unreadable(self, stage, content):
        """An unreadable row is ignored, and the others are read."""
        daemon, keeper = stage.start()
        await crash(daemon, BAD)
        await keeper.update()
        stage.fake.put(TABLE, 'odd', content)
        restarted, keeper = stage.start()
        await keeper.update()
        assert [
            suspect for suspect, _ in restarted.guard.store.list_items()
        ] == [BAD]
