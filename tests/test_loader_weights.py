"""Tests of a loader: downloading, staging and switching."""

import asyncio

import pytest

from fakes.fleet_parts import ENGINE_RULES, FLEET, MODEL
from fakes.loader_host import CHUNKS, LoaderHost, make_chunk

pytestmark = pytest.mark.looptime


class TestLoader:
    """Downloads and switches of a running loader."""

    async def test_empty_engine(self):
        """An empty engine loads the first version if none was named."""
        host = LoaderHost()
        async with host.run():
            await asyncio.sleep(3)
        assert host.engine.version == 1
        host.check_orders()

    async def test_engine_that_holds_it(self):
        """An engine that holds the version causes no order or download."""
        host = LoaderHost(version=1)
        async with host.run():
            await asyncio.sleep(3)
        assert not host.engine.orders
        assert not host.drawn

    async def test_new_version(self):
        """A named version is loaded before the old one expires."""
        host = LoaderHost(version=1)
        async with host.run():
            await asyncio.sleep(1)
            host.name(2)
            await asyncio.sleep(FLEET.version_ms / 1000)
            assert host.engine.version == 2
        host.check_orders()

    async def test_first_version_is_finished(self):
        """An empty engine finishes the first version after the second's naming.

        The first version has no row, and was left almost complete.
        """
        host = LoaderHost(link_mbps=0.03)
        host.seconds = 0.5
        async with host.run():
            while len(host.drawn) < CHUNKS - 1:
                await asyncio.sleep(0.01)
            host.name(2)
            await asyncio.sleep(FLEET.version_ms / 1000)
        assert [version for version, _ in host.engine.orders] == [1, 2]
        host.check_orders()

    async def test_notices(self):
        """Entry daemons are notified before the order and after loading."""
        host = LoaderHost(version=1)
        async with host.run():
            host.name(2)
            await asyncio.sleep(8)
        closing, opening = host.notices
        assert closing.seconds > 0
        assert (opening.seconds, opening.version) == (0, 2)

    async def test_spoilt_chunks(self):
        """Chunks with another digest are downloaded again."""
        host = LoaderHost()
        host.spoilt = 3
        async with host.run():
            await asyncio.sleep(4)
        assert host.engine.version == 1
        host.check_orders()

    async def test_rot(self):
        """A corrupted staged chunk is staged again before the order."""
        host = LoaderHost()
        async with host.run():
            while len(host.engine.stage) < CHUNKS:
                await asyncio.sleep(0.01)
            host.engine.stage[2] = b'rotten'
            await asyncio.sleep(3)
        assert host.engine.version == 1
        host.check_orders()

    async def test_restarted_engine(self):
        """A restarted engine loads the version that its loader holds."""
        host = LoaderHost()
        async with host.run():
            await asyncio.sleep(3)
            drawn = len(host.drawn)
            host.engine.restart()
            await asyncio.sleep(1)
        assert host.engine.version == 1
        assert len(host.engine.orders) == 2
        assert len(host.drawn) == drawn

    async def test_restarted_loader(self):
        """A restarted loader adopts the staged chunks."""
        host = LoaderHost()
        async with host.run():
            await asyncio.sleep(3)
        other = LoaderHost()
        other.engine.stage = dict(host.engine.stage)
        async with other.run():
            await asyncio.sleep(3)
        assert other.engine.version == 1
        assert not other.drawn

    async def test_engine_is_not_set_back(self):
        """A restarted loader that reads old rows loads no older version."""
        host = LoaderHost(version=3)
        async with host.run():
            host.name(2)
            await asyncio.sleep(FLEET.version_ms / 1000)
        assert host.engine.version == 3
        assert not host.engine.orders

    async def test_origin_away(self):
        """The engine keeps its version until sources are reachable again."""
        host = LoaderHost(version=1)
        host.reachable = False
        async with host.run():
            host.name(2)
            await asyncio.sleep(5)
            assert host.engine.version == 1
            host.reachable = True
            await asyncio.sleep(6)
        assert host.engine.version == 2

    async def test_origin_away_is_told_once(self, caplog):
        """A lasting failure is logged only once."""
        host = LoaderHost(version=1)
        host.reachable = False
        async with host.run():
            host.name(2)
            await asyncio.sleep(60)
        lines = [
            record for record in caplog.records if 'manifest' in record.message
        ]
        assert len(lines) == 1

    async def test_silent_engine(self):
        """An engine that is down gets an order only once it answers."""
        host = LoaderHost()
        host.engine.down = True
        async with host.run():
            await asyncio.sleep(3)
            assert not host.engine.orders
            host.engine.down = False
            await asyncio.sleep(3)
        assert host.engine.version == 1

    async def test_order_that_does_not_fit(self):
        """A refused order is sent again."""
        host = LoaderHost()
        host.engine.refuses = True
        async with host.run():
            await asyncio.sleep(3)
            host.engine.refuses = False
            await asyncio.sleep(2)
        assert host.engine.version == 1

    async def test_quick_succession(self):
        """Only the newest of two quickly named versions is loaded."""
        host = LoaderHost(version=1)
        host.seconds = 1
        async with host.run():
            host.name(2)
            await asyncio.sleep(0.5)
            host.name(3)
            await asyncio.sleep(10)
        assert [version for version, _ in host.engine.orders] == [3]
        host.check_orders()

    async def test_two_newer_versions_during_the_wait(self):
        """A version that is given up for newer ones is not loaded in part.

        Its chunks leave the loader's store when the second newer version is
        opened, and chunks of that one are staged until the engine's turn.
        """
        host = LoaderHost(version=1, link_mbps=0.009)
        host.service += [f'10.0.0.{each}:1' for each in range(2, 12)]
        async with host.run():
            host.name(2)
            while host.loading.store.find_newest_whole(MODEL) < 2:
                await asyncio.sleep(0.01)
            host.seconds = 1.85
            host.name(3)
            await asyncio.sleep(0.5)
            host.name(4)
            await asyncio.sleep(3 * FLEET.version_ms / 1000)
        assert host.engine.version == 4
        host.check_orders()

    async def test_slow_links(self):
        """An older version is loaded first if the newest would be late."""
        host = LoaderHost(version=1, link_mbps=0.009)
        host.seconds = 2
        async with host.run():
            host.name(2)
            await asyncio.sleep(3.9)
            host.name(3)
            await asyncio.sleep(14)
        assert [version for version, _ in host.engine.orders] == [2, 3]
        host.check_orders()

    async def test_finishes_most_of_its_work(self):
        """A full engine is ordered once half of its requests have ended."""
        host = LoaderHost(version=1)
        host.engine.running = 16
        async with host.run():
            host.name(2)
            while not host.notices:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            assert not host.engine.orders
            host.engine.running = 8
            await asyncio.sleep(0.2)
            assert host.engine.orders
        host.check_orders()

    async def test_long_answers(self):
        """Requests that do not end in time do not delay the order further."""
        host = LoaderHost(version=1)
        host.engine.running = 16
        async with host.run():
            host.name(2)
            await asyncio.sleep(FLEET.version_ms / 1000)
        assert host.engine.version == 2

    async def test_newest_stalls(self):
        """An older version is loaded while a chunk of the newest is missing."""
        host = LoaderHost(version=1, link_mbps=0.03)
        host.seconds = 0.5
        async with host.run():
            host.name(2)
            await asyncio.sleep(0.7)
            host.name(3)
            host.missing = (3, CHUNKS - 1)
            await asyncio.sleep(FLEET.version_ms / 1000)
            assert host.engine.version == 2
            host.missing = None
            await asyncio.sleep(5)
        assert host.engine.version == 3
        host.check_orders()

    async def test_newest_without_manifest(self):
        """An older version is loaded while the newest has no manifest.

        Seen on kalliga scale-1: the origin went down before any host had
        read the manifest of the newest version.
        """
        host = LoaderHost(version=1, link_mbps=0.009)
        host.seconds = 1.85
        host.unknown = 3
        async with host.run():
            host.name(2)
            await asyncio.sleep(0.7)
            host.name(3)
            await asyncio.sleep(FLEET.version_ms / 1000)
            assert host.engine.version == 2
            host.unknown = 0
            await asyncio.sleep(12)
        assert host.engine.version == 3
        host.check_orders()

    async def test_newest_appears_during_an_older_download(self):
        """The newest version is loaded once a source offers it in time.

        After a failed read of its manifest, the newest version was not
        requested for five seconds. Loaders downloaded an older version
        meanwhile, although the origin answered again, and the engines had
        only expired weights when that was done.
        """
        host = LoaderHost(version=1, link_mbps=0.009)
        host.seconds = 1.85
        host.unknown = 3
        async with host.run():
            host.name(2)
            host.name(3)
            await asyncio.sleep(1)
            host.unknown = 0
            await asyncio.sleep(FLEET.version_ms / 1000 - 1)
            assert host.engine.version == 3
        assert [version for version, _ in host.engine.orders] == [3]
        host.check_orders()

    async def test_missing_chunk_appears_during_an_older_download(self):
        """A version whose last chunk was missing is finished at once."""
        host = LoaderHost(version=1, link_mbps=0.03)
        host.seconds = 0.2
        host.missing = (3, CHUNKS - 1)
        async with host.run():
            host.name(2)
            host.name(3)
            while host.loading.estimate_download_seconds(ENGINE_RULES, 3) < 9:
                await asyncio.sleep(0.1)
            host.seconds = 1.5
            await asyncio.sleep(0.5)
            host.missing = None
            await asyncio.sleep(3.5)
            assert host.engine.version == 3
        assert [version for version, _ in host.engine.orders] == [3]
        host.check_orders()

    async def test_newest_is_not_given_up_as_it_arrives(self):
        """A version whose chunks arrive is not abandoned for an older one.

        Both versions were unavailable in an outage of the origin, the newest
        one noted last.
        """
        host = LoaderHost(version=1, link_mbps=0.03)
        host.seconds = 1.5
        host.reachable = False
        async with host.run():
            host.name(2)
            host.name(3)
            await asyncio.sleep(3)
            host.reachable = True
            await asyncio.sleep(FLEET.version_ms / 1000 - 3)
            assert host.engine.version == 3
        assert all(version == 3 for version, _ in host.drawn)
        host.check_orders()

    async def test_next_version_is_nearly_drawn(self):
        """A version is skipped if its successor is nearly downloaded."""
        host = LoaderHost(version=1)
        host.engine.running = 16
        async with host.run():
            host.name(2)
            while not host.notices:
                await asyncio.sleep(0.01)
            host.name(3)
            await asyncio.sleep(3)
        assert [version for version, _ in host.engine.orders] == [3]
        host.check_orders()


class TestFindChunk:
    """Chunks that a loader serves to other hosts."""

    async def test_held_version(self):
        """A chunk of the held version is read from memory or the stage."""
        host = LoaderHost(version=1)
        host.engine.stage = {0: make_chunk(1, 0)}
        async with host.run():
            await asyncio.sleep(1)
            found = await host.loading.find_chunk(MODEL, 1, 0)
        assert found == make_chunk(1, 0)

    @pytest.mark.parametrize(
        ('model', 'version', 'index'),
        [('other', 1, 0), (MODEL, 2, 0), (MODEL, 1, 99)],
    )
    async def test_not_held(self, model, version, index):
        """No chunk is returned that the engine does not hold."""
        host = LoaderHost(version=1)
        async with host.run():
            await asyncio.sleep(1)
            assert await host.loading.find_chunk(model, version, index) is None
