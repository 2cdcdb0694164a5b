"""Tests of retries that forwarders lend each other over loopback."""

import asyncio

import pytest

from fakes.fleet_target import (
    Received,
    ScriptedConnection,
    answer_whole,
    begin_with,
)
from fakes.forwarder_fleet import LOOK, ForwarderFleet
from ragwortcourse.forwarding.retries.fleet_retry_budget import WHOLE
from ragwortcourse.forwarding.retries.retry_messages import (
    RetryAsk,
    RetryMessage,
)
from ragwortcourse.membership.relay_daemons import describe_daemon

OWN: float = WHOLE - 1e-9
FOUND_SECONDS = 5.0


async def cut(received: Received, connection: ScriptedConnection) -> None:
    """Break an answer off."""
    await connection.begin(received, content_length='9')
    connection.reset()


async def open_fleet(forwarders: int) -> ForwarderFleet:
    """Open a fleet whose first answer is cut, and whose budgets are known."""
    fleet = ForwarderFleet(answer=begin_with(cut, answer_whole))
    await fleet.open(targets=3, forwarders=forwarders)
    budget = fleet.forwarders[0].safeguards.retry_budget
    async with asyncio.timeout(FOUND_SECONDS):
        while budget.daemons != forwarders:
            await asyncio.sleep(0.02)
        while budget.has_lenders != (forwarders > 1):
            await asyncio.sleep(0.02)
    return fleet


def spend_own(fleet: ForwarderFleet) -> None:
    """Spend the own share of the first forwarder."""
    while fleet.forwarders[0].safeguards.retry_budget.try_spend(share=OWN):
        pass


class TestLending:
    """A request whose forwarder has no retry of its own left."""

    async def test_lost_request_is_not_retried(self, caplog):
        """LOST: 502 after one try, with retries unused at another daemon."""
        caplog.set_level('INFO')
        fleet = await open_fleet(2)
        async with fleet.exit_stack:
            spend_own(fleet)
            assert (await fleet.ask(0, b'call', LOOK)).status == 200
            assert len(fleet.arrivals) == 2
            lender = fleet.forwarders[1].safeguards.retry_budget
            assert lender.lent.count_held(lender.read_now()) > 0
        assert 'retries borrowed from another daemon' in caplog.messages

    async def test_waits_for_nobody(self):
        """LATE: a daemon without others held a request that it must fail."""
        fleet = await open_fleet(1)
        async with fleet.exit_stack:
            spend_own(fleet)
            async with asyncio.timeout(FOUND_SECONDS):
                assert (await fleet.ask(0, b'call', LOOK)).status == 502

    async def test_nothing_to_lend(self):
        """LATE: a request waited on for a daemon that lends nothing."""
        fleet = await open_fleet(2)
        async with fleet.exit_stack:
            budget = fleet.forwarders[0].safeguards.retry_budget
            fleet.forwarders[1].safeguards.retry_budget.note_predecessor()
            spend_own(fleet)
            async with asyncio.timeout(FOUND_SECONDS):
                assert (await fleet.ask(0, b'call', LOOK)).status == 502
            assert not budget.demand.waiters


class TestRound:
    """Messages of one round."""

    async def test_nothing_is_sent_without_need(self):
        """BYTES: daemons sent wishes that they did not need."""
        fleet = await open_fleet(2)
        async with fleet.exit_stack:
            first, second = fleet.forwarders
            exchange = first.safeguards.retry_exchange
            listed = [
                describe_daemon(each.settings) for each in (first, second)
            ]
            assert exchange.write_round(listed) == {}

    @pytest.mark.parametrize('amount', [1, 1000])
    async def test_asked_daemon_keeps_its_first_retries(self, amount):
        """LOST: a lender gave away all that it had."""
        fleet = await open_fleet(2)
        async with fleet.exit_stack:
            safeguards = fleet.forwarders[0].safeguards
            before = safeguards.retry_budget.count_left()
            ask = RetryAsk(ask='a-0', amount=amount)
            safeguards.retry_exchange.note_message('e-9', RetryMessage(ask=ask))
            left = safeguards.retry_budget.count_left()
            assert before / 4 - 1 < left < before
