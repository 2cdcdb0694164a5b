"""Tests of chunks and orders at an engine that does calls late."""

import asyncio

import pytest

from fakes.fleet_parts import FLEET, MODEL
from fakes.held_tasks import HeldTasks, make_task
from fakes.loader_host import (
    CHUNKS,
    ENGINE,
    LoaderHost,
    make_chunk,
    make_manifest,
)
from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EngineReport, LoadOrderOutcome
from ragwortcourse.weights.engine_switch import switch_engine
from ragwortcourse.weights.stage_inspection import FormerOrder, judge_staged
from ragwortcourse.weights.unanswered_order import (
    LATE_CALL_SECONDS,
    UnansweredOrder,
    may_be_accepted,
)
from ragwortcourse.weights.version_drawing import download_versions

pytestmark = pytest.mark.looptime
VERSION_SECONDS = FLEET.version_ms / 1000
# The engine of the host switches after others.
SERVICE = [ENGINE, *(f'10.0.0.{each}:1' for each in range(2, 12))]


class TestUnansweredOrder:
    """An order without an answer that the engine accepts later."""

    @pytest.mark.parametrize('seconds', [1.3, 1.8, 2.5, 4.0, 6.0, 9.6])
    async def test_late_order_loads_another_version(self, seconds):
        """Chunks of a newer version are not loaded as the ordered version."""
        host = LoaderHost(version=1)
        async with host.run():
            host.name(2)
            host.engine.late_orders = [seconds]
            while host.engine.late_orders:
                await asyncio.sleep(0.01)
            host.name(3)
            await asyncio.sleep(seconds + VERSION_SECONDS)
        host.check_orders()
        assert host.engine.version == 3

    @pytest.mark.parametrize('seconds', [2.5, 4.0, 6.0, 9.6])
    async def test_several_late_orders(self, seconds):
        """Two orders of one version are late, and a third one is accepted."""
        host = LoaderHost(version=1)
        async with host.run():
            host.name(2)
            host.engine.late_orders = [seconds, seconds]
            while host.engine.late_orders:
                await asyncio.sleep(0.01)
            host.name(3)
            await asyncio.sleep(seconds + VERSION_SECONDS)
        host.check_orders()
        assert host.engine.version == 3

    async def test_late_order_of_a_restarted_loader(self):
        """A loader that starts anew waits for the order of its predecessor."""
        host = LoaderHost(version=1)
        async with host.run():
            host.name(2)
            host.engine.late_orders = [6.0]
            while host.engine.late_orders:
                await asyncio.sleep(0.01)
        successor = LoaderHost(engine=host.engine)
        async with successor.run():
            successor.name(2)
            successor.name(3)
            await asyncio.sleep(2 * VERSION_SECONDS)
        successor.check_orders()
        assert host.engine.version == 3

    async def test_late_order_of_a_restarted_loader_beside_a_late_write(self):
        """A late write of an older version hides no order of a former loader.

        The write of version 2 is done after the check for version 3, into its
        complete stage.
        """
        host = LoaderHost(version=1)
        async with host.run():
            host.name(2)
            host.name(3)
            host.engine.late_orders = [4.0]
            while host.engine.late_orders:
                await asyncio.sleep(0.01)
            host.engine.stage[0] = make_chunk(2, 0)
        successor = LoaderHost(engine=host.engine, link_mbps=0.009)
        successor.seconds = 1.85
        async with successor.run():
            for version in (2, 3, 4):
                successor.name(version)
            await asyncio.sleep(2 * VERSION_SECONDS)
        successor.check_orders()
        assert host.engine.version == 4

    async def test_engine_that_restarts_between_report_and_order(self):
        """An order that states the count of a former incarnation stays open.

        The engine counts its orders anew, and accepts the late order once it
        has accepted as many as the order states.
        """
        host = LoaderHost(version=1)
        host.engine.accepted = 1
        read_staged = host.engine.read_staged

        async def restart_and_read(model, index):
            if host.engine.late_orders and host.engine.version:
                host.engine.restart()
            return await read_staged(model, index)

        async with host.run():
            host.name(2)
            while host.loading.store.find_newest_whole(MODEL) < 2:
                await asyncio.sleep(0.01)
            host.engine.running = 16
            while not host.notices:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            host.engine.read_staged = restart_and_read
            host.engine.late_orders = [4.0]
            while host.engine.late_orders:
                await asyncio.sleep(0.01)
            host.name(3)
            await asyncio.sleep(4 + VERSION_SECONDS)
        host.check_orders()
        assert host.engine.version == 3

    async def test_order_at_an_engine_that_is_silent_for_long(self):
        """An order waits in a silent engine beyond the time of late calls."""
        silent = LATE_CALL_SECONDS + 2
        host = LoaderHost(version=1)
        host.engine.running = 16
        async with host.run():
            host.name(2)
            host.engine.late_orders = [silent + 0.6]
            while host.engine.late_orders:
                await asyncio.sleep(0.01)
            host.name(3)
            await asyncio.sleep(0.4)
            host.engine.down = True
            await asyncio.sleep(silent - 0.4)
            host.engine.down = False
            await asyncio.sleep(2 * VERSION_SECONDS)
        host.check_orders()
        assert host.engine.version == 3

    @pytest.mark.parametrize('seconds', [4.0, 9.6])
    async def test_order_whose_count_a_restarted_engine_reaches_later(
        self, seconds
    ):
        """An order of a former count stays open after another one is begun.

        The engine restarts between report and order, and has accepted two
        orders again when it takes the late one.
        """
        host = LoaderHost(version=1)
        host.engine.accepted = 2
        read_staged = host.engine.read_staged

        async def restart_and_read(model, index):
            if host.engine.late_orders and host.engine.version:
                host.engine.restart()
            return await read_staged(model, index)

        async with host.run():
            host.name(2)
            while host.loading.store.find_newest_whole(MODEL) < 2:
                await asyncio.sleep(0.01)
            host.engine.running = 16
            while not host.notices:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            host.engine.read_staged = restart_and_read
            host.engine.late_orders = [seconds]
            while host.engine.late_orders:
                await asyncio.sleep(0.01)
            host.name(3)
            await asyncio.sleep(LATE_CALL_SECONDS + VERSION_SECONDS)
        host.check_orders()
        assert host.engine.version == 3

    @pytest.mark.parametrize('seconds', [13.0, 20.0])
    async def test_order_beside_a_loader_that_stands_still(self, seconds):
        """Time in which the loader read no report settles no order.

        The engine stands still as well, and takes the order 0.1 s after it
        goes on.
        """
        loop = asyncio.get_running_loop()
        loop.set_task_factory(make_task)
        host = LoaderHost(version=1)
        tasks = HeldTasks()
        host.name(2)
        tasks.start(
            download_versions(host.loading), switch_engine(host.loading)
        )
        host.engine.late_orders = [1.1 + seconds + 0.1]
        while host.engine.late_orders:
            await asyncio.sleep(0.01)
        host.name(3)
        # The order has got no answer, and the next one is not sent yet.
        await asyncio.sleep(1.1)
        tasks.suspension.suspend()
        await asyncio.sleep(seconds)
        tasks.suspension.resume()
        await asyncio.sleep(2 * VERSION_SECONDS)
        await tasks.kill()
        host.check_orders()
        assert host.engine.version == 3


class TestMayBeAccepted:
    """Whether an engine may still accept an order that stated two others."""

    @pytest.mark.parametrize(
        ('held', 'orders', 'seconds', 'expected'),
        [
            (1, 2, 1, True),
            (None, 2, 1, True),
            (1, 3, 1, False),
            # The engine has restarted.
            (None, 0, 1, True),
            (1, None, 1, True),
            (1, 2, LATE_CALL_SECONDS + 1, False),
            # Without an effect; repeated, it would never be counted.
            (2, 2, 1, False),
        ],
    )
    def test_report(self, held, orders, seconds, expected):
        """Another accepted order, its own version and time settle it."""
        order = UnansweredOrder(
            chunks=VersionChunks(manifest=make_manifest(2)),
            orders=2,
            sent_at=0,
        )
        report = EngineReport(
            busy=False,
            running=0,
            weights=held and HeldWeights(version=held, first=0, end=16),
            orders=orders,
        )
        accepted = may_be_accepted(order, report, seconds=seconds)
        assert accepted is expected


class TestUnansweredWrite:
    """A staged chunk without an answer that the engine writes later."""

    @pytest.mark.parametrize('seconds', [1.3, 3.0, 5.0, 7.5, 9.6])
    async def test_late_write_spoils_a_newer_version(self, seconds):
        """A chunk of an older version does not get into a load."""
        host = LoaderHost(version=1)
        host.service = SERVICE
        async with host.run():
            host.name(2)
            host.engine.late_writes = [seconds]
            await asyncio.sleep(0.35)
            host.name(3)
            await asyncio.sleep(seconds + VERSION_SECONDS)
        host.check_orders()
        assert host.engine.version == 3


class TestAgeOfTheCheck:
    """Staged chunks that change between the check and the order."""

    @pytest.mark.parametrize('content', [None, b'rotten'])
    async def test_chunk_spoilt_while_the_loader_waits_for_its_turn(
        self, content
    ):
        """An engine that switches late finds all chunks of the version."""
        host = LoaderHost(version=1)
        host.service = SERVICE
        async with host.run():
            host.name(2)
            while host.engine.stage.get(3) != make_chunk(2, 3):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            assert not host.engine.orders
            host.engine.stage.pop(2)
            if content is not None:
                host.engine.stage[2] = content
            await asyncio.sleep(VERSION_SECONDS)
        host.check_orders()
        assert host.engine.version == 2


class TestInspection:
    """What a loader that starts finds staged."""

    async def test_stage_of_the_held_version(self):
        """A restarted loader loads a new version without a delay."""
        host = LoaderHost(version=1)
        host.engine.stage = {
            index: make_chunk(1, index) for index in range(CHUNKS)
        }
        async with host.run():
            host.name(1)
            host.name(2)
            await asyncio.sleep(2)
        assert host.engine.version == 2
        host.check_orders()

    @pytest.mark.parametrize('seconds', [3.5, 4.0])
    async def test_list_of_the_staged_chunks_without_an_answer(self, seconds):
        """An engine that does not answer counts as no empty stage."""
        host = LoaderHost(version=1)
        async with host.run():
            host.name(2)
            host.engine.late_orders = [seconds]
            while host.engine.late_orders:
                await asyncio.sleep(0.01)
        list_staged = host.engine.list_staged
        unanswered = [True]

        async def list_later(model):
            if unanswered:
                unanswered.clear()
                await asyncio.sleep(1)
                return None
            return await list_staged(model)

        host.engine.list_staged = list_later
        successor = LoaderHost(engine=host.engine, link_mbps=0.009)
        successor.seconds = 1.85
        async with successor.run():
            successor.name(2)
            successor.name(3)
            await asyncio.sleep(3 * VERSION_SECONDS)
        successor.check_orders()
        assert host.engine.version == 3

    async def test_stage_of_two_versions(self):
        """A download that a former loader began is continued."""
        host = LoaderHost(version=1)
        host.engine.stage = {
            index: make_chunk(1 + index % 2, index) for index in range(CHUNKS)
        }
        async with host.run():
            host.name(1)
            host.name(2)
            await asyncio.sleep(2)
        assert host.engine.version == 2
        host.check_orders()

    async def test_stage_of_an_unknown_version(self):
        """Chunks of no known version stay staged until late calls are over."""
        host = LoaderHost(version=1)
        host.unknown = 2
        host.engine.stage = dict.fromkeys(range(CHUNKS), b'unknown')
        async with host.run():
            host.name(2)
            host.name(3)
            await asyncio.sleep(LATE_CALL_SECONDS - 1)
            assert set(host.engine.stage.values()) == {b'unknown'}
            await asyncio.sleep(3)
        assert host.engine.version == 3
        host.check_orders()

    async def test_spoilt_chunk_of_the_held_version(self):
        """A chunk that no version has does not delay a new version."""
        host = LoaderHost(version=1)
        host.engine.stage = {
            index: make_chunk(1, index) for index in range(CHUNKS)
        }
        host.engine.stage[0] = b'rotten'
        async with host.run():
            host.name(1)
            host.name(2)
            await asyncio.sleep(2)
        assert host.engine.version == 2
        host.check_orders()

    async def test_restarted_engine(self):
        """Chunks of no known version do not delay the load after a crash."""
        host = LoaderHost(version=1)
        host.engine.stage = dict.fromkeys(range(CHUNKS), b'unknown')
        async with host.run():
            host.name(2)
            await asyncio.sleep(1)
            host.engine.restart()
            await asyncio.sleep(2)
        assert host.engine.version == 2
        host.check_orders()

    async def test_order_of_the_former_loader(self):
        """Once an order is accepted, the former ones can't be any more."""
        host = LoaderHost(version=1)
        host.engine.stage = dict.fromkeys(range(CHUNKS), b'unknown')
        async with host.run():
            host.name(2)
            host.name(3)
            await asyncio.sleep(1)
            await host.engine.order_load(MODEL, 2, 0)
            host.engine.orders.clear()
            await asyncio.sleep(2)
        assert host.engine.version == 3
        host.check_orders()

    async def test_crashed_engine(self):
        """An engine that lost its weights gets the staged version at once."""
        host = LoaderHost()
        host.unknown = 3
        host.engine.stage = {
            index: make_chunk(2, index) for index in range(CHUNKS)
        }
        async with host.run():
            host.name(2)
            host.name(3)
            await asyncio.sleep(1)
        assert host.engine.version == 2
        host.check_orders()

    @pytest.mark.parametrize(
        ('found', 'former'),
        [
            ({2: 48}, FormerOrder.POSSIBLE),
            ({3: 48}, FormerOrder.POSSIBLE),
            ({1: 48}, FormerOrder.NONE),
            ({1: 47}, FormerOrder.NONE),
            ({1: 20, 3: 28}, FormerOrder.NONE),
            ({3: 30}, FormerOrder.NONE),
            ({3: 1}, FormerOrder.NONE),
            ({2: 47}, FormerOrder.POSSIBLE),
            ({2: 47, 1: 1}, FormerOrder.POSSIBLE),
            ({2: 47, 3: 1}, FormerOrder.POSSIBLE),
            ({1: 20}, FormerOrder.UNKNOWN),
            ({}, FormerOrder.UNKNOWN),
        ],
    )
    def test_judge_staged(self, found, former):
        """Chunks of one newer version tell of an order, also if one is bad."""
        judged = judge_staged(
            found, chunks=48, held=1, newest=3, are_newer_known=False
        )
        assert judged is former

    def test_chunks_of_an_old_version(self):
        """Chunks of no version above the held one delay nothing."""
        judged = judge_staged(
            {}, chunks=48, held=1, newest=3, are_newer_known=True
        )
        assert judged is FormerOrder.NONE


class TestRestartedLoader:
    """Versions arrive in time at a loader that starts with no order open."""

    @pytest.mark.parametrize('staged', [(1, 1, 1, 1), (1, 3, 1, 3)])
    async def test_held_version_is_two_back(self, staged):
        """The origin has no manifest any more of all or some staged chunks."""
        host = LoaderHost(version=1)
        host.unknown = 1
        host.engine.stage = {
            index: make_chunk(version, index)
            for index, version in enumerate(staged)
        }
        async with host.run():
            for version in (1, 2, 3):
                host.name(version)
            await asyncio.sleep(VERSION_SECONDS)
        assert host.engine.version == 3
        host.check_orders()

    async def test_engine_restarts_after_the_loader(self):
        """No order of a former loader reaches an engine that starts later."""
        host = LoaderHost(version=1)
        host.engine.accepted = 1
        host.unknown = 1
        host.engine.stage = {
            index: make_chunk(1, index) for index in range(CHUNKS)
        }
        async with host.run():
            host.name(1)
            await asyncio.sleep(1)
            host.engine.restart()
            host.name(2)
            host.name(3)
            await asyncio.sleep(VERSION_SECONDS)
        assert host.engine.version == 3
        host.check_orders()


class TestSwitch:
    """The loader's loop beside an engine that does not load."""

    async def test_order_in_effect_of_a_version_that_is_not_held(self):
        """The loader waits between orders that change nothing."""
        host = LoaderHost()
        sent = 0

        async def order_load(model, version, expected):
            nonlocal sent
            sent += 1
            # Without it, no time passes in a loop that never waits.
            await asyncio.sleep(0.001)
            return LoadOrderOutcome.IN_EFFECT

        host.engine.order_load = order_load
        async with host.run():
            host.name(2)
            await asyncio.sleep(3)
        assert 0 < sent < 100

    async def test_engine_serves_while_a_late_write_forbids_the_order(self):
        """No switch is announced as long as no order can be sent."""
        host = LoaderHost(version=1)
        async with host.run():
            host.name(2)
            host.engine.late_writes = [3600.0]
            while host.engine.late_writes:
                await asyncio.sleep(0.01)
            host.name(3)
            while host.loading.store.find_newest_whole(MODEL) < 3:
                await asyncio.sleep(0.01)
            host.notices.clear()
            await asyncio.sleep(6)
            assert not host.engine.orders
        # The one that is under way when the loader notices.
        assert len(host.notices) <= 1
