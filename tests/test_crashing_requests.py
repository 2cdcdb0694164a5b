"""Tests of requests that crash the targets of a forwarder."""

import asyncio

import aiohttp
import pytest

from fakes.fleet_parts import FLEET
from fakes.fleet_target import (
    Received,
    ScriptedConnection,
    answer_whole,
)
from fakes.forwarder_fleet import CRASHER, LETTER, ForwarderFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.crashes.suspect import SuspectKind

CONTACT_SECONDS = FLEET.contact_ms / 1000
# Sendings that the users allow once all daemons must know of three crashes.
ALLOWED_RETRIES = 3


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = ForwarderFleet(answer=answer_whole)
    async with opened.exit_stack:
        yield opened


class TestCrashingRequest:
    """A request that crashes each target that runs it, at many daemons."""

    async def test_request_that_crashed_three_targets_is_sent_on(self, fleet):
        """A request that crashed three targets is held back everywhere."""
        await fleet.open(targets=8, forwarders=3)
        crashing = asyncio.ensure_future(
            fleet.send_steadily(CRASHER, every=0.1, seconds=6)
        )
        innocent = await fleet.send_steadily(b'look', every=0.05, seconds=6)
        await crashing
        known_from = fleet.ended[2] + CONTACT_SECONDS
        assert fleet.count_arrivals(CRASHER, after=known_from) <= (
            ALLOWED_RETRIES
        )
        assert {
            status for at, status in innocent.items() if at > known_from
        } == {200}

    async def test_suspect_is_sent_to_one_target_only(self, fleet):
        """A request suspected of two crashes is not repeated at once."""
        await fleet.open(targets=6, forwarders=1)
        assert (await fleet.ask(0, CRASHER)).status == 502
        assert fleet.count_arrivals(CRASHER) == 2
        assert (await fleet.ask(0, CRASHER)).status == 502
        assert fleet.count_arrivals(CRASHER) == 3
        refused = await fleet.ask(0, CRASHER)
        assert refused.status == 503
        assert float(refused.headers['Retry-After']) > 0
        assert fleet.count_arrivals(CRASHER) == 3

    async def test_started_daemon_knows(self, fleet):
        """A daemon that starts later holds the request back, too."""
        await fleet.open(targets=6, forwarders=2)
        for daemon in (0, 0, 0):
            await fleet.ask(daemon, CRASHER)
        await fleet.start_forwarder('entry-new')
        await asyncio.sleep(CONTACT_SECONDS)
        assert (await fleet.ask(2, CRASHER)).status == 503
        assert fleet.count_arrivals(CRASHER) == 3

    async def test_other_requests_are_served(self, fleet):
        """Only the same request is held back, not others of the account."""
        await fleet.open(targets=6, forwarders=1)
        for _ in range(3):
            await fleet.ask(0, CRASHER)
        await asyncio.sleep(1)
        assert (await fleet.ask(0, b'look')).status == 200


class TestStreams:
    """Streams whose targets end after the first events, or fall silent."""

    async def test_targets_that_fall_silent(self):
        """A request whose targets only fall silent is held back, too."""

        async def hang(
            received: Received, connection: ScriptedConnection
        ) -> None:
            if received.body == CRASHER:
                await asyncio.Event().wait()
            await answer_whole(received, connection)

        fleet = ForwarderFleet(answer=hang, ends_midway=True)
        async with fleet.exit_stack:
            await fleet.open(targets=6, forwarders=1, plain=False)
            waits = {'Ragwortcourse-Deadline-Ms': '2600'}
            for _ in range(2):
                asked = await fleet.ask(0, CRASHER, LETTER, waits)
                assert asked.status == 504
            asked = await fleet.ask(0, CRASHER, LETTER, waits)
            assert asked.status == 503
            assert fleet.count_arrivals(CRASHER) == 3

    async def test_caller_that_leaves_a_silent_target(self):
        """A caller that leaves its last target tells of its silence."""

        async def hang(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await asyncio.Event().wait()

        fleet = ForwarderFleet(answer=hang)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=1, plain=False)
            prompt = {'Ragwortcourse-Prompt-Prefix': 'bad:1,5c:2'}
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(1.1):
                    await fleet.ask(0, b'letter', LETTER, prompt)
            await asyncio.sleep(0.1)
            guard = fleet.forwarders[0].safeguards.crash_guard
            assert any(
                suspect.kind is SuspectKind.PROMPT_PART
                for suspect, _ in guard.store.list_items()
            )

    async def test_targets_that_change_their_weights(self):
        """Streams that targets cut for a change of weights are no crashes."""

        async def cut(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await connection.begin(received, transfer_encoding='chunked')
            await connection.send_events(0, 2)
            await asyncio.sleep(0.05)
            for load in loads:
                load.unavailable_until = read_clock() + 1
            connection.reset()

        fleet = ForwarderFleet(answer=cut)
        async with fleet.exit_stack:
            await fleet.open(targets=2, forwarders=1, plain=False)
            (forwarder,) = fleet.forwarders
            loads = [
                forwarder.find_load(target)
                for target in forwarder.state.targets.values()
            ]
            with pytest.raises(aiohttp.ClientError):
                await fleet.ask(0, b'letter', LETTER)
            assert not forwarder.safeguards.crash_guard.store

    async def test_target_that_declines_late(self):
        """A late refusal of a target that did not run it is no silence."""

        async def decline_late(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await asyncio.sleep(1.05)
            await connection.answer(
                received, 503, b'', ragwortcourse_not_executed='1'
            )

        fleet = ForwarderFleet(answer=decline_late)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=1, plain=False)
            prompt = {'Ragwortcourse-Prompt-Prefix': 'bad:1,5c:2'}
            refused = await fleet.ask(0, b'letter', LETTER, prompt)
            assert refused.status == 503
            guard = fleet.forwarders[0].safeguards.crash_guard
            assert not guard.store

    async def test_stream_that_crashed_three_targets(self):
        """A stream that ends its targets midway is held back, too."""

        async def stream_some(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await connection.begin(
                received,
                transfer_encoding='chunked',
                content_type='text/event-stream',
            )
            first = int(received.headers.get('last-event-id', -1)) + 1
            await connection.send_events(first, first + 3)
            await asyncio.sleep(0.05)
            if received.body != CRASHER:
                await connection.send(b'0\r\n\r\n')

        fleet = ForwarderFleet(answer=stream_some, ends_midway=True)
        async with fleet.exit_stack:
            await fleet.open(targets=6, forwarders=1, plain=False)
            for _ in range(2):
                with pytest.raises(aiohttp.ClientError):
                    await fleet.ask(0, CRASHER, LETTER)
            assert (await fleet.ask(0, CRASHER, LETTER)).status == 503
            assert fleet.count_arrivals(CRASHER) == 3
            assert (await fleet.ask(0, b'letter', LETTER)).status == 200


class TestInnocentRequests:
    """Requests at targets that end for other reasons."""

    async def test_equal_lookups_at_targets_without_power(self):
        """Equal look-ups that lose many targets at once are served again."""

        async def answer_slowly(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await asyncio.sleep(0.1)
            await connection.answer(received)

        fleet = ForwarderFleet(answer=answer_slowly)
        async with fleet.exit_stack:
            await fleet.open(targets=12, forwarders=2)
            asked = [
                asyncio.ensure_future(fleet.ask(number % 2, b'look'))
                for number in range(24)
            ]
            await asyncio.sleep(0.05)
            for number in range(6):
                await fleet.end_target(f't-{number}')
            await asyncio.gather(*asked)
            await asyncio.sleep(0.2)
            assert [
                (await fleet.ask(daemon, b'look')).status for daemon in (0, 1)
            ] == [200, 200]
