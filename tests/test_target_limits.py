"""Tests of limits that targets name for all daemons together."""

import asyncio
import dataclasses
import random

import msgspec
import pytest

from fakes.fleet_parts import (
    FAR_DOMAIN,
    FLEET,
    NEAR_DOMAIN,
    SAME_REGION,
    make_plain,
    make_state,
)
from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import ForwarderFleet
from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.daemon_ranking import DaemonRanking
from ragwortcourse.forwarding.limit_exchange import (
    LimitMessage,
    build_limit_sender,
    note_limits,
)
from ragwortcourse.forwarding.load_exchange import (
    FAR_ROUNDS,
    NEAR_SECONDS,
)
from ragwortcourse.forwarding.target_limits import (
    ENDED_SECONDS,
    TRIAL_SECONDS,
    TargetLimits,
)
from ragwortcourse.identifiers import DaemonId, RegionName
from ragwortcourse.membership.relay_daemons import RelayRecord

CONTACT_SECONDS = FLEET.contact_ms / 1000
# Bound of the users on the requests of all daemons together.
WINDOW_SECONDS = 4
OVERSHOOT = 1.5
SLACK = 5
LIMITED = 't-0'


class LimitedTargets:
    """Answers of targets of which one names a limit.

    :param rate: named limit; none if it names none any more.
    """

    def __init__(self, *, rate: float | None) -> None:
        self.rate = rate
        self.named_at: float | None = None

    async def answer(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        """Answer at once."""
        name = received.headers['ragwortcourse-expect-instance']
        if name != LIMITED or self.rate is None:
            await connection.answer(received)
            return
        self.named_at = self.named_at or read_clock()
        await connection.answer(received, server_limit=str(self.rate))


class TestLimitedTarget:
    """A target in need that names a limit to many daemons."""

    @pytest.mark.parametrize('rate', [1, 0])
    async def test_target_gets_more_than_the_limit_it_named(self, rate):
        """All daemons together keep to the limit of a target."""
        limited = LimitedTargets(rate=rate)
        fleet = ForwarderFleet(answer=limited.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=6, forwarders=9)
            statuses = await asyncio.gather(
                *(
                    fleet.send_steadily(body, every=0.05, seconds=9)
                    for body in (b'a', b'b', b'c')
                )
            )
            kept_from = limited.named_at + CONTACT_SECONDS
            busiest = fleet.count_busiest(
                LIMITED, seconds=WINDOW_SECONDS, after=kept_from
            )
            assert busiest <= OVERSHOOT * rate * WINDOW_SECONDS + SLACK
            assert {each for some in statuses for each in some.values()} == {
                200
            }


TARGET = make_plain(LIMITED)
DOMAINS = (NEAR_DOMAIN, SAME_REGION, FAR_DOMAIN)


class LimitedFleet:
    """Limits of many daemons that reach each other, in virtual time.

    :param count: number of daemons.
    :param loss: share of messages that are lost.
    """

    def __init__(self, *, count: int, loss: float = 0) -> None:
        self.rng = random.Random(1)
        self.rate: float | None = 1.0
        self.arrivals: list[float] = []
        self.alive: dict[str, TargetLimits] = {}
        self._loss = loss
        self._records = [
            RelayRecord(
                daemon=DaemonId(f'e{number}'),
                address=f'e{number}',
                failure_domain=DOMAINS[number % len(DOMAINS)],
                region=RegionName('near'),
            )
            for number in range(count)
        ]
        self._senders = {}
        for record in self._records:
            self.start(record)

    def start(self, record: RelayRecord) -> None:
        """Start a daemon that knows nothing of before."""
        ranking = DaemonRanking(
            own=record, is_alive=lambda daemon: daemon in self.alive
        )
        ranking.register(self._records)
        limits = TargetLimits(state=make_state(TARGET), ranking=ranking)
        self.alive[record.daemon] = limits
        self._senders[record.daemon] = build_limit_sender(
            limits=limits,
            daemon=record.daemon,
            rng=self.rng,
            send=self._deliver,
        )

    def restart(self, number: int) -> None:
        """Restart one daemon."""
        self.start(self._records[number])

    async def find_sender(self) -> str:
        """Find the daemon that may send to the target."""
        await asyncio.sleep(2)
        (name,) = [
            name
            for name, limits in self.alive.items()
            if limits.has_room(TARGET)
        ]
        return name

    async def run(self, seconds: float, *, offers: int) -> None:
        """Let daemons offer requests and exchange messages.

        :param offers: requests a second that all daemons together would send
            to the target if there were no limit.
        """
        for number in range(round(seconds / NEAR_SECONDS)):
            for _ in range(round(offers * NEAR_SECONDS)):
                self._offer(self.rng.choice(list(self.alive.values())))
            for name in tuple(self.alive):
                peers = [each for each in self.alive if each != name]
                self._senders[name].send_round(
                    peers, repeats=number % FAR_ROUNDS == 0
                )
            await asyncio.sleep(NEAR_SECONDS)

    def count_busiest(self, after: float) -> int:
        """Count the requests in the busiest window after a time."""
        times = [time for time in self.arrivals if time > after]
        return max(
            sum(0 <= time - begin < WINDOW_SECONDS for time in times)
            for begin in times
        )

    def _offer(self, limits: TargetLimits) -> None:
        if limits.has_room(TARGET):
            limits.count_sent(TARGET)
            self.arrivals.append(read_clock())
            limits.note_answer(TARGET, self.rate)

    def _deliver(self, content: bytes, address: str) -> None:
        if address in self.alive and self.rng.random() >= self._loss:
            message = msgspec.json.decode(content, type=LimitMessage)
            note_limits(self.alive[address], message)


@pytest.mark.looptime
class TestDaemonsTogether:
    """Limits that bind the sum of what many daemons send."""

    @pytest.mark.parametrize('daemons', [9, 45, 350])
    @pytest.mark.parametrize('rate', [0.0, 0.5, 1.0, 7.5])
    async def test_bound(self, daemons, rate):
        """Any number of daemons keep to a limit and make use of it."""
        fleet = LimitedFleet(count=daemons, loss=0.03)
        fleet.rate = rate
        began_at = read_clock()
        await fleet.run(12, offers=10 * daemons)
        kept_from = began_at + CONTACT_SECONDS
        bound = OVERSHOOT * rate * WINDOW_SECONDS + SLACK
        assert fleet.count_busiest(kept_from) <= bound
        used = sum(time > kept_from for time in fleet.arrivals)
        assert used >= rate * 9 * 0.7

    async def test_restarted_daemons(self):
        """Daemons that restart in turn learn of a limit from the others."""
        fleet = LimitedFleet(count=45)
        await fleet.run(CONTACT_SECONDS, offers=200)
        kept_from = read_clock()
        for number in range(9):
            fleet.restart(number)
            await fleet.run(0.5, offers=20)
        assert fleet.count_busiest(kept_from) <= 11

    async def test_sender_that_died(self):
        """Another daemon sends in place of one that died."""
        fleet = LimitedFleet(count=9)
        await fleet.run(5, offers=200)
        fleet.alive.pop(await fleet.find_sender())
        before = len(fleet.arrivals)
        await fleet.run(10, offers=200)
        assert 7 <= len(fleet.arrivals) - before <= 15

    async def test_sender_without_requests(self):
        """Other daemons find out that a limit ended if the first is idle."""
        fleet = LimitedFleet(count=9)
        await fleet.run(3, offers=200)
        idle = fleet.alive[await fleet.find_sender()]
        idle.has_room = lambda target: False
        fleet.rate = None
        await fleet.run(10, offers=200)
        assert {
            limits.find_rate(TARGET) for limits in fleet.alive.values()
        } == {None}

    async def test_ended(self):
        """A limit ends everywhere with an answer that names none."""
        fleet = LimitedFleet(count=45, loss=0.03)
        await fleet.run(5, offers=200)
        fleet.rate = None
        await fleet.run(5, offers=200)
        assert all(limits.has_room(TARGET) for limits in fleet.alive.values())


def make_limits() -> TargetLimits:
    """Build the limits of a daemon that is alone."""
    own = RelayRecord(
        daemon=DaemonId('e1'),
        address='127.0.0.1:1',
        failure_domain=NEAR_DOMAIN,
        region=RegionName('near'),
    )
    return TargetLimits(
        state=make_state(TARGET),
        ranking=DaemonRanking(own=own, is_alive=lambda _: False),
    )


@pytest.mark.looptime
class TestTargetLimits:
    """Limits as known to one daemon."""

    async def test_reborn_target(self):
        """A restarted target has no limit until it names one."""
        limits = make_limits()
        limits.note_answer(TARGET, 1)
        assert limits.find_rate(TARGET) == 1
        reborn = dataclasses.replace(TARGET, born=2)
        assert limits.find_rate(reborn) is None
        limits.note_answer(reborn, 3)
        limits.note_answer(TARGET, 1)
        assert limits.find_rate(reborn) == 3

    async def test_zero(self):
        """A target that takes no requests gets one from time to time."""
        limits = make_limits()
        limits.note_answer(TARGET, 0)
        sent = 0
        for _ in range(600):
            if limits.has_room(TARGET):
                limits.count_sent(TARGET)
                limits.note_answer(TARGET, 0)
                sent += 1
            await asyncio.sleep(0.1)
        assert 5 <= sent <= 1 + 60 / TRIAL_SECONDS

    async def test_late_report(self):
        """A report from before a newer answer changes nothing."""
        limits = make_limits()
        limits.note_answer(TARGET, 1)
        await asyncio.sleep(1)
        (old,) = limits.list_all()
        limits.note_answer(TARGET, None)
        limits.merge(old)
        assert limits.find_rate(TARGET) is None

    async def test_bounded(self):
        """Limits of targets that are gone are dropped."""
        limits = make_limits()
        for number in range(100):
            limits.note_answer(make_plain(f'gone-{number}'), 1)
        limits.note_answer(TARGET, 1)
        await asyncio.sleep(ENDED_SECONDS + 1)
        limits.drop_gone()
        assert [limit.target for limit in limits.list_all()] == [LIMITED]
        assert read_clock_with_suspend() > ENDED_SECONDS


class TestNamedEnd:
    """Answers that end a limit, or say nothing about it."""

    async def test_answer_without_a_limit(self):
        """A target gets all requests again once it names no limit."""
        limited = LimitedTargets(rate=1)
        fleet = ForwarderFleet(answer=limited.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=1)
            for _ in range(2):
                assert (await fleet.ask(0, b'a')).status == 200
            refused = await fleet.ask(0, b'a')
            assert refused.status == 503
            assert float(refused.headers['Retry-After']) > 0
            limited.rate = None
            await asyncio.sleep(1.2)
            statuses = [(await fleet.ask(0, b'a')).status for _ in range(9)]
            assert statuses == [200] * 9

    @pytest.mark.parametrize('unreadable', ['nan', 'inf', '-1', 'some'])
    async def test_unreadable(self, unreadable, caplog):
        """A limit that can't be read changes nothing and is logged."""
        limited = LimitedTargets(rate=unreadable)
        fleet = ForwarderFleet(answer=limited.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=1)
            statuses = [(await fleet.ask(0, b'a')).status for _ in range(4)]
            assert statuses == [200] * 4
            assert 'unreadable limit' in caplog.text
            limited.rate = 1
            assert (await fleet.ask(0, b'a')).status == 200
            limited.rate = unreadable
            await asyncio.sleep(1.2)
            assert (await fleet.ask(0, b'a')).status == 200
            assert (await fleet.ask(0, b'a')).status == 503
