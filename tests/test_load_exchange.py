"""Tests of :mod:`ragwortcourse.forwarding.load_exchange`."""

import asyncio
import dataclasses

import msgspec
import pytest

from fakes.fleet_parts import (
    MODEL,
    make_forwarder,
    make_settings,
    make_state,
    make_target,
)
from fakes.ports import pick_address
from ragwortcourse.forwarding.load_exchange import (
    LoadMessage,
    LoadReceiver,
    SwitchMessage,
    exchange_loads,
)
from ragwortcourse.forwarding.named_weights import NamedWeights
from ragwortcourse.membership.relay import RelayRecord
from ragwortcourse.settings import ListenSettings

TARGET = make_target(address='10.0.0.1:80')


class UnreadTargets(dict):
    """Targets of a fleet too large to be gone through."""

    def values(self):
        """Fail."""
        raise AssertionError('all targets were gone through')

    __iter__ = items = keys = values


def make_receiver():
    """A daemon that hears others."""
    forwarder = make_forwarder(make_state(TARGET), None)
    return forwarder, LoadReceiver(forwarder=forwarder)


def send(receiver: LoadReceiver, message: object) -> None:
    """Let it hear a message."""
    content = msgspec.json.encode(message)
    receiver.datagram_received(content, ('10.0.0.2', 1))


@pytest.mark.looptime
class TestLoadReceiver:
    """What a daemon takes over."""

    async def test_counts(self):
        """Requests of others count as load until they are not told of."""
        forwarder, receiver = make_receiver()
        load = forwarder.find_load(TARGET)
        now = asyncio.get_running_loop().time()
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (5, 2)}))
        send(receiver, LoadMessage(daemon='e3', counts={'t-1': (1, 0)}))
        assert load.estimate(now) == 6
        assert load.estimate_starting(now) == 2
        send(receiver, LoadMessage(daemon='e2', counts={}))
        assert load.estimate(now) == 1

    async def test_cost_of_a_word(self):
        """A word costs what it holds, not what the fleet has of targets."""
        forwarder, receiver = make_receiver()
        now = asyncio.get_running_loop().time()
        load = forwarder.find_load(TARGET)
        forwarder.state.targets = UnreadTargets(forwarder.state.targets)
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (5, 2)}))
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (4, 2)}))
        assert load.estimate(now) == 4

    async def test_reborn_target(self):
        """What others told of an earlier incarnation ends with it."""
        forwarder, receiver = make_receiver()
        now = asyncio.get_running_loop().time()
        forwarder.find_load(TARGET)
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (5, 2)}))
        reborn = dataclasses.replace(TARGET, born=2)
        assert forwarder.find_load(reborn).estimate(now) == 0

    async def test_dead_daemon(self):
        """Requests of a daemon that is no longer heard end with it."""
        forwarder, receiver = make_receiver()
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (5, 2)}))
        await asyncio.sleep(2)
        now = asyncio.get_running_loop().time()
        assert forwarder.find_load(TARGET).estimate(now) == 0

    async def test_switch(self):
        """An engine that changes its weights is passed by meanwhile."""
        forwarder, receiver = make_receiver()
        load = forwarder.find_load(TARGET)
        now = asyncio.get_running_loop().time()
        send(
            receiver,
            SwitchMessage(address=TARGET.address, seconds=0.8, version=0),
        )
        assert load.is_passed_by(now)
        assert not load.is_passed_by(now + 1)
        send(
            receiver,
            SwitchMessage(address=TARGET.address, seconds=0, version=3),
        )
        assert not load.is_passed_by(now)
        assert load.read_version(TARGET) == 3

    async def test_naming(self):
        """Others tell when a version was named."""
        forwarder, receiver = make_receiver()
        now = asyncio.get_running_loop().time()
        forwarder.state.weights[MODEL] = (
            NamedWeights(version=2, seen_at=now - 5, observed=False),
        )
        send(
            receiver,
            LoadMessage(daemon='e2', counts={}, named={MODEL: [(2, 1.5)]}),
        )
        (named,) = forwarder.state.weights[MODEL]
        assert named.observed
        assert now - named.seen_at == pytest.approx(1.5)

    @pytest.mark.parametrize('content', [b'', b'\xff', b'{}', b'[1]'])
    async def test_unreadable(self, content, caplog):
        """An unreadable message is logged, and changes nothing."""
        _, receiver = make_receiver()
        receiver.datagram_received(content, ('10.0.0.2', 1))
        assert 'unreadable' in caplog.text


class TestExchangeLoads:
    """Daemons that tell each other, over loopback."""

    async def test_told(self):
        """Each daemon learns of the other's requests."""
        relays = []
        forwarders = []
        for name in ('e1', 'e2'):
            peers = pick_address()
            settings = make_settings(
                daemon=name,
                listen=ListenSettings(
                    peers=peers, watch='127.0.0.1:1', callers='127.0.0.1:1'
                ),
            )
            forwarders.append(
                make_forwarder(
                    make_state(TARGET), None, **settings_fields(settings)
                )
            )
            relays.append(
                RelayRecord(
                    daemon=name,
                    address=peers,
                    failure_domain='near-a',
                    region='near',
                )
            )

        async def list_relays():
            return relays

        tasks = [
            asyncio.ensure_future(
                exchange_loads(forwarder=forwarder, list_relays=list_relays)
            )
            for forwarder in forwarders
        ]
        forwarders[0].find_load(TARGET).own = 3
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(10):
            while forwarders[1].find_load(TARGET).estimate(loop.time()) != 3:
                await asyncio.sleep(0.02)
            while forwarders[1].retries.daemons != len(relays):
                await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def settings_fields(settings):
    """Fields that differ between the daemons."""
    return {'daemon': settings.daemon, 'listen': settings.listen}
