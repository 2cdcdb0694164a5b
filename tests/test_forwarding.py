"""Tests of the callers' port of a forwarder, against scripted targets."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from fakes.fleet_parts import (
    CHARGE,
    FAR_DOMAIN,
    KEY,
    LOOKUP,
    NEAR_DOMAIN,
    PLAIN,
    REGIONS,
    make_desired,
    make_forwarder,
    make_plain,
    make_route,
    make_state,
    make_target,
)
from fakes.fleet_target import (
    FleetTarget,
    Received,
    ScriptedConnection,
    answer_whole,
    begin_with,
)
from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.calls import build_call_routes
from ragwortcourse.forwarding.exchange import open_target_session
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.route import ServiceShare
from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import TargetName

LETTER = '/letters/1'
LOOK = '/lookups/1'
CHARGED = '/charges/1'
EVENTS = ''.join(f'id: {number}\ndata: word{number}\n\n' for number in range(6))
END = b'0\r\n\r\n'


async def stream_all(
    received: Received, connection: ScriptedConnection
) -> None:
    """Stream the events up to the sixth after the caller's last event."""
    first = int(received.headers.get('last-event-id', -1)) + 1
    await begin_stream(received, connection)
    await connection.send_events(first, 6)
    await connection.send(END)


async def begin_stream(
    received: Received, connection: ScriptedConnection
) -> None:
    """Send the headers of a stream."""
    await connection.begin(
        received, transfer_encoding='chunked', content_type='text/event-stream'
    )


def stream_until(end: int, *, rest: bytes = b''):
    """Build a script of a stream that is reset after some events.

    :param rest: incomplete event sent before the reset.
    """

    async def script(
        received: Received, connection: ScriptedConnection
    ) -> None:
        await begin_stream(received, connection)
        await connection.send_events(0, end)
        if rest:
            await connection.send(b'%x\r\n%b\r\n' % (len(rest), rest))
        await asyncio.sleep(0.05)
        connection.reset()

    return script


async def decline(received: Received, connection: ScriptedConnection) -> None:
    """Answer that the request was not run."""
    await connection.answer(received, 503, b'', ragwortcourse_not_executed='1')


async def misdirect(received: Received, connection: ScriptedConnection) -> None:
    """Answer that the request was meant for another instance."""
    await connection.answer(received, 421, b'')


async def fail(received: Received, connection: ScriptedConnection) -> None:
    """Answer with a server error."""
    await connection.answer(received, 500, b'broken')


async def cut(received: Received, connection: ScriptedConnection) -> None:
    """Reset the connection without an answer."""
    connection.reset()


async def hang(received: Received, connection: ScriptedConnection) -> None:
    """Never answer."""
    await asyncio.Event().wait()


async def answer_unframed(
    received: Received, connection: ScriptedConnection
) -> None:
    """Answer with a body that ends with its connection."""
    await connection.begin(received)
    await connection.send(b'whole')


async def reset_unframed(
    received: Received, connection: ScriptedConnection
) -> None:
    """Answer with a body without a length and reset it halfway."""
    await connection.begin(received)
    await connection.send(b'half')
    await asyncio.sleep(0.02)
    connection.reset()


async def answer_short(
    received: Received, connection: ScriptedConnection
) -> None:
    """Answer with a body shorter than its Content-Length."""
    await connection.begin(received, content_length='50')
    await connection.send(b'short')


async def answer_garbled(
    received: Received, connection: ScriptedConnection
) -> None:
    """Answer with a chunk of unreadable size."""
    await connection.begin(received, transfer_encoding='chunked')
    await connection.send(b'zz\r\nhalf\r\n')


async def answer_noise(
    received: Received, connection: ScriptedConnection
) -> None:
    """Send bytes that are no HTTP answer."""
    await connection.send(b'\x00\xffnoise\r\n\r\n')


async def answer_other(
    received: Received, connection: ScriptedConnection
) -> None:
    """Answer with the attempt id of another request."""
    other = dataclasses.replace(
        received, headers={'ragwortcourse-attempt-id': 'other'}
    )
    await connection.answer(other)


async def answer_unmarked(
    received: Received, connection: ScriptedConnection
) -> None:
    """Answer without the stamp of a target."""
    await connection.answer(received, ragwortcourse_server_stamp='')


async def answer_twice(
    received: Received, connection: ScriptedConnection
) -> None:
    """Send two answers to one request."""
    await connection.answer(received)
    await connection.answer(received, 200, b'extra')


class Fleet:
    """Forwarder with some targets and an HTTP client as the caller."""

    def __init__(self) -> None:
        self.targets: list[FleetTarget] = []
        self.stack = contextlib.AsyncExitStack()

    async def open(self, *scripts, plain: bool = False, **changes) -> None:
        """Start a target for each list of scripts, and the forwarder."""
        listed = []
        for number, each in enumerate(scripts):
            target = FleetTarget(*each)
            await target.start()
            self.stack.push_async_callback(target.stop)
            self.targets.append(target)
            make = make_plain if plain else make_target
            listed.append(
                make(f't-{number}', address=target.address, **changes)
            )
        self.listed = listed
        self.state = make_state(*listed)
        session = await self.stack.enter_async_context(open_target_session())
        self.forwarder = make_forwarder(self.state, session)
        app = web.Application()
        app.add_routes(build_call_routes(self.forwarder))
        server = TestServer(app, handler_cancellation=True)
        self.client = await self.stack.enter_async_context(TestClient(server))

    def set_routes(self, *routes) -> None:
        """Replace the default routes."""
        self.state.desired = make_desired(*routes)

    async def ask(self, path: str, **headers: str) -> aiohttp.ClientResponse:
        """Send one request and read its whole answer."""
        response = await self.client.post(
            path,
            data=b'body',
            headers={
                'Host': 'desk.example',
                'Authorization': f'Bearer {KEY}',
                'Ragwortcourse-Attempt-Id': 'a1',
                'Ragwortcourse-Deadline-Ms': '6000',
                **headers,
            },
        )
        await response.read()
        return response

    @property
    def runs(self) -> int:
        """Number of requests that reached any target."""
        return sum(len(target.received) for target in self.targets)


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = Fleet()
    async with opened.stack:
        yield opened


class TestPassedOn:
    """Requests and answers that are passed on."""

    async def test_answer_unchanged(self, fleet):
        """Status, body and the target's stamp are passed on unchanged."""
        await fleet.open([answer_whole], plain=True)
        response = await fleet.ask(LOOK)
        assert response.status == 200
        assert await response.read() == b'whole'
        assert response.headers['Ragwortcourse-Server-Stamp'] == 'stamp'

    async def test_request_unchanged(self, fleet):
        """Method, path, query and body reach the target unchanged."""
        await fleet.open([answer_whole], plain=True)
        await fleet.ask(f'{LOOK}?q=%20a')
        (received,) = fleet.targets[0].received
        assert received.method == 'POST'
        assert received.path == f'{LOOK}?q=%20a'
        assert received.body == b'body'
        assert received.headers['host'] == 'desk.example'
        assert 'authorization' not in received.headers
        assert received.headers['ragwortcourse-tenant'] == 'parents'
        assert received.headers['ragwortcourse-expect-instance'] == 't-0'
        assert int(received.headers['ragwortcourse-deadline-ms']) <= 800

    async def test_failure_of_the_target(self, fleet):
        """A server error of a non-idempotent request is passed on."""
        await fleet.open([fail], [fail], plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == 500
        assert fleet.runs == 1

    async def test_unframed_answer(self, fleet):
        """A body that ends with its connection is whole."""
        await fleet.open([answer_unframed], plain=True)
        response = await fleet.ask(LOOK)
        assert response.status == 200
        assert await response.read() == b'whole'

    async def test_extra_answer(self, fleet):
        """An extra answer is not taken as the answer to a later request."""
        await fleet.open([answer_twice, answer_whole], plain=True)
        for _ in range(2):
            response = await fleet.ask(LOOK)
            assert await response.read() == b'whole'


SPOILT = [
    cut,
    reset_unframed,
    answer_short,
    answer_garbled,
    answer_noise,
    answer_other,
    answer_unmarked,
]


class TestSpoiltAnswers:
    """Answers that are missing, cut or invalid."""

    @pytest.mark.parametrize('script', SPOILT)
    async def test_charge_is_not_repeated(self, fleet, script):
        """A charge without a valid answer gets 502 and is not repeated."""
        await fleet.open([script, answer_whole], [script], plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == 502
        assert fleet.runs == 1

    @pytest.mark.parametrize('script', SPOILT)
    async def test_lookup_is_repeated(self, fleet, script):
        """A lookup without a valid answer is retried at another target."""
        shared = begin_with(script, answer_whole)
        await fleet.open([shared], [shared], plain=True)
        response = await fleet.ask(LOOK)
        assert response.status == 200
        assert await response.read() == b'whole'

    async def test_no_more_than_the_route_allows(self, fleet):
        """The number of targets that may run a request is limited."""
        await fleet.open([cut], [cut], [cut], [cut], plain=True)
        response = await fleet.ask(LOOK)
        assert response.status == 502
        assert fleet.runs == LOOKUP.max_tries


class TestNotRun:
    """Requests that targets did not run."""

    @pytest.mark.parametrize('script', [decline, misdirect])
    async def test_charge_goes_elsewhere(self, fleet, script):
        """A charge that was not run is sent to another target."""
        shared = begin_with(script, answer_whole)
        await fleet.open([shared], [shared], plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == 200
        assert fleet.runs == 2

    async def test_unreachable(self, fleet):
        """A request to an unreachable target gets 503: it was not run."""
        await fleet.open([answer_whole], plain=True)
        await fleet.targets[0].stop()
        response = await fleet.ask(CHARGED)
        assert response.status == 503
        assert float(response.headers['Retry-After']) > 0

    async def test_all_decline(self, fleet):
        """A request that all targets decline gets 503."""
        await fleet.open([decline], [decline], plain=True)
        response = await fleet.ask(CHARGED)
        assert response.status == 503

    async def test_served_requests_book_no_turns(self, fleet):
        """Served requests don't lengthen the retry time of refused ones."""
        await fleet.open([answer_whole] * 40 + [decline], plain=True)
        for _ in range(40):
            assert (await fleet.ask(LOOK)).status == 200
        response = await fleet.ask(CHARGED)
        assert response.status == 503
        assert float(response.headers['Retry-After']) < 0.5

    async def test_all_misdirect(self, fleet):
        """The retry time is longer if all targets have lost their weights.

        Incident (kalliga-grown trouble-1): after a power loss of all hosts,
        engines were still listed with weights that they had lost. 825
        requests were told to retry after 0.2 s, while the engines were still
        loading.
        """
        await fleet.open([misdirect], [misdirect])
        response = await fleet.ask(LETTER)
        assert response.status == 503
        assert 0.8 <= float(response.headers['Retry-After']) <= 2

    async def test_misdirected_charge(self, fleet):
        """The retry time is at most a third of the caller's time."""
        await fleet.open([misdirect], [misdirect], plain=True)
        response = await fleet.ask(
            CHARGED, **{'Ragwortcourse-Deadline-Ms': '900'}
        )
        assert response.status == 503
        assert 0 < float(response.headers['Retry-After']) <= 0.3

    async def test_no_target(self, fleet):
        """A request without a usable target is refused at once."""
        await fleet.open([answer_whole], plain=True, leaving=True)
        response = await fleet.ask(LOOK)
        assert response.status == 503
        assert fleet.runs == 0

    @pytest.mark.parametrize('weights', [(0, 0), (0, -1)])
    async def test_no_share_of_the_route_has_weight(self, fleet, weights):
        """A request on a route without any traffic share is refused.

        Operators take all traffic off a route for a while. Each request on it
        got a 500 of the HTTP server.
        """
        await fleet.open([answer_whole], plain=True)
        shares = tuple(
            ServiceShare(service=PLAIN, weight=weight) for weight in weights
        )
        fleet.set_routes(dataclasses.replace(LOOKUP, services=shares))
        response = await fleet.ask(LOOK)
        assert response.status == 503
        assert float(response.headers['Retry-After']) > 0
        assert fleet.runs == 0

    async def test_stopping_while_the_body_arrives(self, fleet):
        """A request whose body ends after the time of service is refused.

        It would run until after the end of the grace time.
        """

        async def write_slowly():
            yield b'begin'
            await asyncio.sleep(0.05)
            fleet.forwarder.closing = True
            yield b'end'

        await fleet.open([answer_whole], plain=True)
        headers = {'Host': 'desk.example', 'Authorization': f'Bearer {KEY}'}
        async with fleet.client.post(
            CHARGED, data=write_slowly(), headers=headers
        ) as response:
            assert response.status == 503
        assert fleet.runs == 0

    @pytest.mark.parametrize('path', [LOOK, CHARGED])
    async def test_daemon_ends(self, fleet, path):
        """A request that is not sent as the daemon ends is refused.

        A daemon closes its connections to targets at the end of its grace
        time. Requests that were to be sent then got a 500 of the HTTP server.
        """
        await fleet.open([answer_whole], plain=True)
        await fleet.forwarder.session.close()
        response = await fleet.ask(path)
        assert response.status == 503
        assert fleet.runs == 0

    async def test_stopping(self, fleet):
        """A daemon that is stopping refuses requests with 503."""
        await fleet.open([answer_whole], plain=True)
        fleet.forwarder.closing = True
        response = await fleet.ask(LOOK)
        assert response.status == 503
        assert fleet.runs == 0


class TestTimeLimits:
    """Time limits and callers that disconnect."""

    async def test_route_limit(self, fleet):
        """The caller gets 504 at the time limit of the route."""
        await fleet.open([hang], plain=True)
        fleet.set_routes(dataclasses.replace(CHARGE, time_limit=0.1))
        response = await fleet.ask(CHARGED)
        assert response.status == 504
        await asyncio.sleep(0.05)
        assert fleet.targets[0].abandoned == 1

    async def test_stream_limit(self, fleet):
        """A stream over the time limit is aborted, not ended regularly."""

        async def trickle(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await begin_stream(received, connection)
            await connection.send_events(0, 2)
            await asyncio.Event().wait()

        await fleet.open([trickle])
        fleet.set_routes(make_route(time_limit=0.3))
        with pytest.raises(aiohttp.ClientError):
            await fleet.ask(LETTER)

    async def test_caller_leaves(self, fleet):
        """The request at the target is cancelled if the caller disconnects."""
        await fleet.open([hang], plain=True)
        asked = asyncio.ensure_future(fleet.ask(CHARGED))
        await asyncio.sleep(0.1)
        asked.cancel()
        await asyncio.sleep(0.1)
        assert fleet.targets[0].abandoned == 1


class TestStreams:
    """Streams of events."""

    async def test_whole(self, fleet):
        """All events are passed on."""
        await fleet.open([stream_all])
        response = await fleet.ask(LETTER)
        assert await response.text() == EVENTS

    @pytest.mark.parametrize('end', [0, 1, 3])
    @pytest.mark.parametrize('rest', [b'', b'id: 9\ndata: ha'])
    async def test_goes_on_elsewhere(self, fleet, end, rest):
        """Another target continues a broken stream after its last event."""
        script = begin_with(stream_until(end, rest=rest), stream_all)
        await fleet.open([script], [script])
        response = await fleet.ask(LETTER)
        assert await response.text() == EVENTS
        assert fleet.runs == 2

    async def test_caller_resumes(self, fleet):
        """A caller may resume a stream after its last event."""
        await fleet.open([stream_all])
        response = await fleet.ask(LETTER, **{'Last-Event-Id': '3'})
        assert await response.text() == EVENTS[EVENTS.index('id: 4') :]

    async def test_not_resumable(self, fleet):
        """A broken stream that can't be resumed is aborted."""
        await fleet.open([stream_until(2)], [stream_all])
        fleet.set_routes(make_route(resumable=False))
        fleet.state.targets.pop('t-1')
        with pytest.raises(aiohttp.ClientError):
            await fleet.ask(LETTER)
        assert fleet.runs == 1

    async def test_not_resumable_before_its_first_event(self, fleet):
        """A failure before the first event gets 502 and no second run."""
        await fleet.open([cut])
        fleet.set_routes(make_route(resumable=False))
        response = await fleet.ask(LETTER)
        assert response.status == 502
        assert fleet.runs == 1

    async def test_silent_target(self, fleet):
        """Another target continues a stream that stalls."""

        async def pause(
            received: Received, connection: ScriptedConnection
        ) -> None:
            await begin_stream(received, connection)
            await connection.send_events(0, 2)
            await asyncio.Event().wait()

        script = begin_with(pause, stream_all)
        await fleet.open([script], [script])
        assert await (await fleet.ask(LETTER)).text() == EVENTS


class TestUsable:
    """Conditions under which a target gets requests."""

    @pytest.mark.parametrize(
        'changes',
        [
            {'leaving': True},
            {'weights': None},
            {'weights': HeldWeights(version=1, first=0, end=8)},
        ],
    )
    async def test_unusable(self, fleet, changes):
        """Leaving engines and engines without all layers get no requests."""
        await fleet.open([stream_all], **changes)
        response = await fleet.ask(LETTER)
        assert response.status == 503
        assert fleet.runs == 0

    async def test_withdrawn(self, fleet):
        """A withdrawn failure domain gets no requests until it is returned."""
        await fleet.open([stream_all])
        fleet.state.withdrawn = frozenset(('near-a',))
        assert (await fleet.ask(LETTER)).status == 503
        fleet.state.withdrawn = frozenset()
        assert (await fleet.ask(LETTER)).status == 200

    async def test_regions(self, fleet):
        """A route is served only in its regions."""
        await fleet.open([stream_all])
        fleet.set_routes(make_route(regions=frozenset(('far',))))
        assert (await fleet.ask(LETTER)).status == 503
        fleet.set_routes(make_route(regions=frozenset(('near',))))
        assert (await fleet.ask(LETTER)).status == 200

    async def test_lost_failure_domain(self, fleet):
        """Targets in an unreachable failure domain are avoided."""
        await fleet.open([stream_all] * 20, [stream_all] * 20)
        near, far = (
            self.place(fleet, 0, NEAR_DOMAIN),
            self.place(fleet, 1, FAR_DOMAIN),
        )
        for name in ('t-8', 't-9'):
            fleet.forwarder.state.reach.note_unreachable(
                FAR_DOMAIN, TargetName(name), read_clock()
            )
        for _ in range(10):
            assert (await fleet.ask(LETTER)).status == 200
        assert (len(near.received), len(far.received)) == (10, 0)

    async def test_only_a_lost_failure_domain(self, fleet):
        """An unreachable failure domain is tried if there is no other."""
        await fleet.open([stream_all])
        far = self.place(fleet, 0, FAR_DOMAIN)
        for name in ('t-8', 't-9'):
            fleet.forwarder.state.reach.note_unreachable(
                FAR_DOMAIN, TargetName(name), read_clock()
            )
        assert (await fleet.ask(LETTER)).status == 200
        assert len(far.received) == 1
        assert not fleet.forwarder.state.reach.is_avoided(
            FAR_DOMAIN, read_clock()
        )

    async def test_targets_stand_for_their_failure_domain(self, fleet):
        """Several unreachable targets make their whole domain avoided."""
        await fleet.open([stream_all], [stream_all])
        for number in range(2):
            await self.place(fleet, number, FAR_DOMAIN).stop()
        assert (await fleet.ask(LETTER)).status == 503
        assert fleet.forwarder.state.reach.is_avoided(FAR_DOMAIN, read_clock())

    def place(self, fleet, number, domain) -> FleetTarget:
        """Move a target to a failure domain."""
        name = TargetName(f't-{number}')
        fleet.state.targets[name] = dataclasses.replace(
            fleet.state.targets[name],
            failure_domain=domain,
            region=REGIONS[domain],
        )
        return fleet.targets[number]

    async def test_old_version(self, fleet):
        """Engines with old weights get no requests after the bound."""
        await fleet.open([stream_all])
        now = read_clock_with_suspend()
        recent = AnnouncedVersion(version=2, seen_at=now - 2)
        fleet.state.weights['drafts'] = (recent,)
        assert (await fleet.ask(LETTER)).status == 200
        old = AnnouncedVersion(version=2, seen_at=now - 7.5)
        fleet.state.weights['drafts'] = (old,)
        assert (await fleet.ask(LETTER)).status == 503

    async def test_taken_back_at_the_bound(self, fleet):
        """A request that has not begun by the bound moves to another target.

        Incident: requests waited 1.1 s in the queue of an overloaded engine
        and began on weights that had expired in the meantime.
        """
        await fleet.open([hang], [stream_all])
        fleet.state.targets['t-1'] = dataclasses.replace(
            fleet.state.targets['t-1'],
            weights=HeldWeights(version=2, first=0, end=16),
        )
        now = read_clock_with_suspend()
        named = AnnouncedVersion(version=2, seen_at=now - 7.1)
        fleet.state.weights['drafts'] = (named,)
        # The engine with the old weights has less load and is tried first.
        fleet.forwarder.find_load(fleet.state.targets['t-1']).own = 8
        began_at = asyncio.get_running_loop().time()
        response = await fleet.ask(LETTER)
        assert response.status == 200
        assert fleet.targets[0].abandoned == 1
        assert asyncio.get_running_loop().time() - began_at < 1.2

    async def test_cold_target(self, fleet):
        """A cold target gets only this daemon's share of requests a second."""
        await fleet.open([stream_all], cold_seconds=60)
        statuses = [(await fleet.ask(LETTER)).status for _ in range(8)]
        assert (
            statuses.count(200)
            == 36 // fleet.forwarder.safeguards.retry_budget.daemons
        )

    async def test_cold_again(self, fleet):
        """A target that turns cold again gets only this daemon's share."""
        await fleet.open([stream_all])
        (target,) = fleet.state.targets.values()
        fleet.forwarder.note_listed(target)
        cold = dataclasses.replace(target, cold_seconds=60)
        fleet.forwarder.note_listed(cold)
        statuses = [(await fleet.ask(LETTER)).status for _ in range(8)]
        assert (
            statuses.count(200)
            == 36 // fleet.forwarder.safeguards.retry_budget.daemons
        )

    async def test_reborn_target(self, fleet):
        """A restarted target has no state from before."""
        await fleet.open([stream_all])
        (target,) = fleet.state.targets.values()
        load = fleet.forwarder.find_load(target)
        load.stated_version.number = 7
        reborn = dataclasses.replace(target, born=2)
        assert fleet.forwarder.find_load(reborn).stated_version.number == 0

    async def test_stale_keys(self, fleet):
        """Keys are refused if the desired state is not confirmed."""
        await fleet.open([stream_all])
        fleet.state.confirmed_at = read_boot_clock() - 4.5
        assert (await fleet.ask(LETTER)).status == 503
        assert fleet.runs == 0


class TestLoad:
    """Request counts of a daemon at its targets."""

    @pytest.mark.parametrize(
        'script', [stream_all, cut, decline, stream_until(2), fail]
    )
    async def test_counts_end_at_zero(self, fleet, script):
        """A request is no longer counted after its end, however it ends."""
        await fleet.open([script], [script])
        with contextlib.suppress(aiohttp.ClientError):
            await fleet.ask(LETTER)
        for target in fleet.state.targets.values():
            load = fleet.forwarder.find_load(target)
            assert (load.own, load.unanswered) == (0, 0)
        assert fleet.forwarder.running == 0

    async def test_overload_refused_at_once(self, fleet):
        """A request that can't start in time is refused with Retry-After."""
        await fleet.open([stream_all])
        (target,) = fleet.state.targets.values()
        fleet.forwarder.find_load(target).own = 40
        response = await fleet.ask(LETTER)
        assert response.status == 503
        assert 0 < float(response.headers['Retry-After']) <= 2
        assert fleet.runs == 0
