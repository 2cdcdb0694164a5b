"""Staged chunks that an engine writes after their loader gave them up."""

import asyncio

import pytest

from fakes.fleet_parts import MODEL
from fakes.loader_host import ENGINE, LoaderHost, make_chunk
from fakes.staged_engine import CALL_SECONDS
from ragwortcourse.clock import read_clock
from ragwortcourse.weights.engine_port import LoadOrderOutcome

pytestmark = pytest.mark.looptime
LATE_SECONDS = 10.0


async def test_late_write_between_the_check_and_the_order():
    """A chunk of an older version is not loaded with a newer one.

    The engine takes 0.3 s for the order and does the write meanwhile, if it
    was given up less than ten seconds ago.
    """
    host = LoaderHost(version=1)
    engine = host.engine
    write, order = engine.write_staged, engine.order_load
    given_up: list[tuple[float, int, bytes]] = []

    async def write_staged(model, index, content) -> bool:
        if given_up:
            return await write(model, index, content)
        given_up.append((read_clock() + CALL_SECONDS, index, content))
        await asyncio.sleep(CALL_SECONDS)
        return False

    async def order_load(model, version, expected) -> LoadOrderOutcome:
        await asyncio.sleep(0.3)
        at, index, content = given_up[0]
        if version == 3 and read_clock() < at + LATE_SECONDS:
            engine.stage[index] = content
        return await order(model, version, expected)

    engine.write_staged, engine.order_load = write_staged, order_load
    async with host.run():
        host.name(2)
        while not given_up:  # no event
            await asyncio.sleep(0.01)
        host.name(3)
        await asyncio.sleep(60)
    host.check_orders()
    assert engine.version == 3


async def test_engine_serves_while_a_late_write_may_follow():
    """No notice closes the engine as long as no order can go out."""
    host = LoaderHost(version=1)
    host.engine.late_writes = [60.0]
    async with host.run():
        host.name(2)
        await asyncio.sleep(0.35)
        host.name(3)
        await asyncio.sleep(10)
        assert not host.notices
        await asyncio.sleep(10)
    assert host.engine.version == 3


async def test_two_late_writes_of_one_chunk():
    """A write that is seen done does not settle another one of its chunk.

    Both of the first two writes of a chunk of version 2 get no answer. The
    engine does one after the chunk of version 3 is staged, and the other
    within the 0.3 s of the order.
    """
    host = LoaderHost(version=1)
    host.service = [ENGINE, *(f'10.0.0.{each}:1' for each in range(2, 12))]
    engine = host.engine
    write, order = engine.write_staged, engine.order_load
    given_up: list[tuple[float, int, bytes]] = []

    async def write_staged(model, index, content) -> bool:
        is_same = not given_up or given_up[0][1:] == (index, content)
        if len(given_up) == 2 or not is_same:
            return await write(model, index, content)
        given_up.append((read_clock() + CALL_SECONDS, index, content))
        await asyncio.sleep(CALL_SECONDS)
        return False

    async def order_load(model, version, expected) -> LoadOrderOutcome:
        await asyncio.sleep(0.3)
        at, index, content = given_up[1]
        if version == 3 and read_clock() < at + LATE_SECONDS:
            engine.stage[index] = content
        return await order(model, version, expected)

    engine.write_staged, engine.order_load = write_staged, order_load
    async with host.run():
        host.name(2)
        while len(given_up) < 2:  # no event
            await asyncio.sleep(0.01)
        host.name(3)
        while host.loading.store.find_newest_whole(MODEL) < 3:
            await asyncio.sleep(0.01)
        while make_chunk(3, given_up[0][1]) not in engine.stage.values():
            await asyncio.sleep(0.01)
        _, index, content = given_up[0]
        engine.stage[index] = content
        await asyncio.sleep(60)
    host.check_orders()
    assert engine.version == 3
