"""Tests of :mod:`ragwortcourse.forwarding.load_exchange`."""

import asyncio
import contextlib
import dataclasses
import math
import time

import msgspec
import pytest

from fakes.fleet_parts import (
    ENGINE_RULES,
    FLEET,
    MODEL,
    make_forwarder,
    make_state,
    make_target,
    make_version_row,
)
from fakes.ports import pick_address
from ragwortcourse import clock
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.dissemination.audience import Audience
from ragwortcourse.forwarding.dissemination.broadcast import (
    PASS_ON,
    Broadcast,
)
from ragwortcourse.forwarding.load_exchange import (
    FAR_ROUNDS,
    NEAR_SECONDS,
    LoadReceiver,
    exchange_loads,
)
from ragwortcourse.forwarding.load_messages import (
    LoadMessage,
    SwitchMessage,
    VersionAnnouncement,
    VersionHistoryMessage,
)
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.version_bounds import read_required_version
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.settings import ListenSettings

TARGET = make_target(address='10.0.0.1:80')
# As long as a datagram may be.
DEEP = b'{"type":"load","daemon":"e2","counts":{},"other":%s}' % (
    b'[' * 30_000 + b']' * 30_000
)


class UnreadTargets(dict):
    """Targets that fail a test which iterates over all of them."""

    def values(self):
        """Fail the test."""
        raise AssertionError('iterated over all targets')

    __iter__ = items = keys = values


def make_receiver():
    """Build a forwarder and its receiver."""
    forwarder = make_forwarder(make_state(TARGET), None)
    return forwarder, LoadReceiver(forwarder=forwarder)


def send(receiver: LoadReceiver, message: object) -> None:
    """Deliver a message to a receiver."""
    content = msgspec.json.encode(message)
    receiver.datagram_received(content, ('10.0.0.2', 1))


@pytest.mark.looptime
class TestLoadReceiver:
    """Effects of received messages."""

    async def test_counts(self):
        """Reported requests count as load until the next report."""
        forwarder, receiver = make_receiver()
        load = forwarder.find_load(TARGET)
        now = asyncio.get_running_loop().time()
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (5, 2)}))
        send(receiver, LoadMessage(daemon='e3', counts={'t-1': (1, 0)}))
        assert load.estimate(now) == 6
        assert load.estimate_unanswered(now) == 2
        send(receiver, LoadMessage(daemon='e2', counts={}))
        assert load.estimate(now) == 1

    async def test_cost_of_a_word(self):
        """The cost of a report does not depend on the number of targets."""
        forwarder, receiver = make_receiver()
        now = asyncio.get_running_loop().time()
        load = forwarder.find_load(TARGET)
        forwarder.state.targets = UnreadTargets(forwarder.state.targets)
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (5, 2)}))
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (4, 2)}))
        assert load.estimate(now) == 4

    async def test_reborn_target(self):
        """Counts for an earlier incarnation of a target are dropped."""
        forwarder, receiver = make_receiver()
        now = asyncio.get_running_loop().time()
        forwarder.find_load(TARGET)
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (5, 2)}))
        reborn = dataclasses.replace(TARGET, born=2)
        assert forwarder.find_load(reborn).estimate(now) == 0

    async def test_dead_daemon(self):
        """The counts of a daemon that sends no more messages expire."""
        forwarder, receiver = make_receiver()
        send(receiver, LoadMessage(daemon='e2', counts={'t-1': (5, 2)}))
        await asyncio.sleep(2)
        now = asyncio.get_running_loop().time()
        assert forwarder.find_load(TARGET).estimate(now) == 0

    async def test_switch(self):
        """An engine is avoided while it changes its weights."""
        forwarder, receiver = make_receiver()
        load = forwarder.find_load(TARGET)
        now = asyncio.get_running_loop().time()
        send(
            receiver,
            SwitchMessage(address=TARGET.address, seconds=0.8, version=0),
        )
        assert load.is_avoided(now)
        assert not load.is_avoided(now + 1)
        send(
            receiver,
            SwitchMessage(address=TARGET.address, seconds=0, version=3),
        )
        assert not load.is_avoided(now)
        assert load.read_version(TARGET) == 3

    async def test_naming(self):
        """A report corrects the announcement time of a version."""
        forwarder, receiver = make_receiver()
        now = read_clock_with_suspend()
        forwarder.state.versions_complete_since = now
        forwarder.state.weights[MODEL] = (
            AnnouncedVersion(version=2, seen_at=now - 5, observed=False),
        )
        naming = VersionAnnouncement(version=2, age=1.5, observed=True)
        namings = VersionHistoryMessage(
            versions={MODEL: [naming]}, complete_for=60
        )
        send(receiver, LoadMessage(daemon='e2', counts={}, namings=namings))
        (named,) = forwarder.state.weights[MODEL]
        assert named.observed
        assert now - named.seen_at == pytest.approx(1.5)

    async def test_read_late(self):
        """Messages read after a stall update loads, but no ages."""
        forwarder, receiver = make_receiver()
        naming = VersionAnnouncement(version=2, age=0.1, observed=True)
        message = LoadMessage(
            daemon='e2',
            counts={'t-1': (5, 2)},
            namings=VersionHistoryMessage(
                versions={MODEL: [naming]}, complete_for=60
            ),
            stable_for=1,
        )
        receiver.note_awake()
        await asyncio.sleep(4)
        send(receiver, message)
        now = asyncio.get_running_loop().time()
        assert forwarder.find_load(TARGET).estimate(now) == 5
        assert not forwarder.state.weights
        assert forwarder.store_watch.read_seconds_since_outage() is None
        await asyncio.sleep(NEAR_SECONDS * 2)
        send(receiver, message)
        assert forwarder.state.weights

    async def test_passed_on_late(self):
        """Messages read after a stall are not passed on.

        Daemons that did not stall would take the ages in them as they are,
        and begin requests on an old version for as long as the stall.
        """
        passed_on = []
        _, receiver = make_receiver()
        receiver.broadcast = Broadcast(
            send=lambda content, address: passed_on.append(address)
        )
        receiver.broadcast.audience = Audience(near=('10.0.0.3:1',))
        receiver.note_awake()
        await asyncio.sleep(4)
        content = msgspec.json.encode(LoadMessage(daemon='e2', counts={}))
        receiver.datagram_received(PASS_ON + content, ('10.0.0.2', 1))
        assert not passed_on
        await asyncio.sleep(NEAR_SECONDS * 2)
        receiver.datagram_received(PASS_ON + content, ('10.0.0.2', 1))
        assert passed_on == ['10.0.0.3:1']

    async def test_suspended(self, monkeypatch):
        """The bound on old versions runs on while the host is suspended."""
        forwarder, receiver = make_receiver()
        naming = VersionAnnouncement(version=2, age=1, observed=True)
        namings = VersionHistoryMessage(
            versions={MODEL: [naming]}, complete_for=60
        )
        send(receiver, LoadMessage(daemon='e2', counts={}, namings=namings))
        assert read_required_version(forwarder, ENGINE_RULES) is None
        # The meter keeps what it has measured, also after this test.
        monkeypatch.setattr(clock, 'SUSPENSION', clock.SuspensionMeter())
        awake = time.clock_gettime
        monkeypatch.setattr(
            time, 'clock_gettime', lambda number: awake(number) + 7
        )
        assert read_required_version(forwarder, ENGINE_RULES) == 2

    @pytest.mark.parametrize(
        'content', [b'', b'\xff', b'{}', b'[1]', DEEP, DEEP[:2000]]
    )
    async def test_unreadable(self, content, caplog):
        """An unreadable message is logged and ignored."""
        _, receiver = make_receiver()
        receiver.datagram_received(content, ('10.0.0.2', 1))
        assert 'unreadable' in caplog.text

    @pytest.mark.parametrize(
        'message',
        [
            {'type': 'load', 'counts': {'t-1': [-1, 0]}},
            {'type': 'load', 'counts': {'t-1': [10**399, 0]}},
            {'type': 'load', 'counts': {}, 'stable_for': -1e308},
            {
                'type': 'load',
                'counts': {},
                'namings': {
                    'versions': {'m': [[2, -1e308, True]]},
                    'complete_for': 1,
                },
            },
            {
                'type': 'load',
                'counts': {},
                'namings': {
                    'versions': {'m': [[10**399, 1, True]]},
                    'complete_for': 1,
                },
            },
            {'type': 'switch', 'address': 'a', 'seconds': 1e308, 'version': 1},
            {'type': 'switch', 'address': 'a', 'seconds': 1, 'version': -1},
            {'type': 'limit', 'reports': [['t-1', 1, -1, 0]]},
            {'type': 'limit', 'reports': [['t-1', 1, 1, -1e308]]},
            {'type': 'departure', 'reports': [['t-1', 10**399]]},
            {'type': 'crash', 'reports': [['r', [], -1e308, None]]},
            {'type': 'crash', 'reports': [['r', [], None, -1e308]]},
            {
                'type': 'crash',
                'reports': [['r', [['t-1', 1, 1e308, 1, 1, 1]], None, None]],
            },
            {
                'type': 'crash',
                'reports': [['r', [['t-1', 1, 1, -1e308, 1, 1]], None, None]],
            },
        ],
    )
    async def test_meaningless_number_is_taken(self, message, caplog):
        """A message with a number that means nothing is ignored.

        An age far below zero is a time that never passes.
        """
        _, receiver = make_receiver()
        send(receiver, {'daemon': 'e2', **message})
        assert 'unreadable' in caplog.text


class TestExchangeLoads:
    """Exchange of messages between daemons over loopback."""

    async def test_told(self):
        """Each daemon learns of the other's requests."""
        first, second = make_pair()
        first.find_load(TARGET).own = 3
        loop = asyncio.get_running_loop()
        async with run_exchange(first, second):
            while second.find_load(TARGET).estimate(loop.time()) != 3:
                await asyncio.sleep(0.02)
            while second.safeguards.retry_budget.daemons != 2:
                await asyncio.sleep(0.02)

    async def test_list_not_read_yet(self):
        """A daemon with an empty list of daemons keeps the assumed number."""
        (forwarder, _) = make_pair()
        assumed = forwarder.safeguards.retry_budget.daemons
        async with run_exchange(forwarder, listed=()):
            await asyncio.sleep(NEAR_SECONDS * (FAR_ROUNDS + 1))
        assert forwarder.safeguards.retry_budget.daemons == assumed > 1

    async def test_version_named_before_a_restart(self):
        """A restarted daemon learns the times of two earlier versions."""
        ran, restarted = make_pair()
        for forwarder in (ran, restarted):
            forwarder.fleet = msgspec.structs.replace(FLEET, version_ms=60_000)
        now = read_clock_with_suspend()
        ran.state.versions_complete_since = now - 100
        ran.state.weights[MODEL] = (
            AnnouncedVersion(version=2, seen_at=now - 59.5),
            AnnouncedVersion(version=3, seen_at=now - 1),
        )
        build_operator_handler(restarted.state, restarted.fleet).replace(
            (make_version_row(3),), math.inf
        )
        assert read_required_version(restarted, ENGINE_RULES) is None
        async with run_exchange(ran, restarted):
            while not all(
                each.observed for each in restarted.state.weights[MODEL]
            ):
                await asyncio.sleep(0.02)
        assert read_required_version(ran, ENGINE_RULES) == 2
        assert read_required_version(restarted, ENGINE_RULES) == 2


def make_pair():
    """Build two forwarders of one failure domain, not yet exchanging."""
    return [
        make_forwarder(
            make_state(TARGET),
            None,
            daemon=name,
            listen=ListenSettings(
                peers=pick_address(),
                watch='127.0.0.1:1',
                callers='127.0.0.1:1',
            ),
        )
        for name in ('e1', 'e2')
    ]


@contextlib.asynccontextmanager
async def run_exchange(*forwarders, listed=None):
    """Run the exchange between daemons for at most ten seconds.

    :param listed: daemons that each daemon knows; none: all of them.
    """
    relays = [
        RelayRecord(
            daemon=forwarder.settings.daemon,
            address=forwarder.settings.listen.peers,
            failure_domain='near-a',
            region='near',
        )
        for forwarder in forwarders
    ]

    async def list_relays():
        return relays if listed is None else listed

    tasks = [
        asyncio.ensure_future(
            exchange_loads(forwarder=forwarder, list_relays=list_relays)
        )
        for forwarder in forwarders
    ]
    try:
        async with asyncio.timeout(10):
            yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
