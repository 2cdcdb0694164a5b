"""Latency and processor time that entry daemon and agent add to a stream.

One run alternates between requests directly to the target and requests
through both daemons. All are real processes on loopback.
"""

import asyncio
import statistics
import time
from collections.abc import Iterator
from typing import Any, Final

import aiohttp
import msgspec

from fakes.blueprint import (
    OPERATOR_TOKEN,
    Blueprint,
    EntryPlan,
    TargetPlan,
)
from fakes.fleet import Fleet
from fakes.probes import hash_key
from measure.proc import read_processor
from measure.token_source import END, TOKEN, StreamOrder
from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.deployment import ServiceDeployment
from ragwortcourse.configuration.failure_domain import FailureDomain
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.identifiers import (
    ClientAccountName,
    DeploymentName,
    FailureDomainName,
    RegionName,
)

API_KEY: Final = 'relay-key'
FIRST_TOKENS: Final = 300
STREAMS: Final = 32
STREAM_SECONDS: Final = 5.0
PACES: Final = (0.005, 0.02)
PERMITS: Final = 128
READY_SECONDS: Final = 10.0


class StreamFleet(Fleet):
    """A fleet whose target is the minimal token source."""

    async def start_target(self, plan: TargetPlan) -> None:
        """Start the token source instead of a stand-in service."""
        address = self.plan.target_address[plan.name]
        await self._spawn(
            f'target-{plan.name}', 'measure.token_source', address
        )
        await self._wait_for_port(address)


def make_blueprint() -> Blueprint:
    """Make a fleet of one entry daemon, one agent and one target."""
    return Blueprint(
        entries=(EntryPlan(name='entry-1', failure_domain='a'),),
        targets=(
            TargetPlan(
                name='stream-1',
                deployment='streams',
                failure_domain='a',
                is_model_engine=False,
            ),
        ),
    )


def make_configuration() -> Configuration:
    """Make a configuration of one service with more permits than streams."""
    domain = FailureDomainName('a')
    return Configuration(
        failure_domains=(FailureDomain(name=domain, region=RegionName('a')),),
        client_accounts=(
            ClientAccount(
                name=ClientAccountName('measure'),
                key_sha256=(hash_key(API_KEY),),
            ),
        ),
        services=(
            ServiceDeployment(
                name=DeploymentName('streams'),
                failure_domains=(domain,),
                limits=TargetLimits(cold=PERMITS, warm=PERMITS),
            ),
        ),
    )


async def put_configuration(
    fleet: Fleet, session: aiohttp.ClientSession
) -> None:
    """Put the configuration in force and wait until a call is answered.

    :raises TimeoutError: no call was answered in ``READY_SECONDS``.
    """
    address = fleet.plan.listen['entry-1'].operators
    body = {
        'base_generation': 0,
        'configuration': msgspec.to_builtins(make_configuration()),
        'change': 'measure-1',
    }
    async with session.post(
        f'http://{address}/operator/configuration',
        json=body,
        headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
    ) as answer:
        assert answer.status == 200, await answer.text()
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        async with session.post(
            build_daemon_url(fleet), data=encode_order(1)
        ) as answer:
            if answer.status == 200:
                return
        await asyncio.sleep(0.2)
    raise TimeoutError('service answered no call before the deadline')


def build_daemon_url(fleet: Fleet) -> str:
    """Return the URL of the target through both daemons."""
    return f'http://{fleet.plan.listen["entry-1"].callers}/services/streams/s'


def build_target_url(fleet: Fleet) -> str:
    """Return the URL of the target itself."""
    return f'http://{fleet.plan.target_address["stream-1"]}/s'


def encode_order(tokens: int, pace: float = 0) -> bytes:
    """Encode the body that requests a stream.

    :param pace: seconds between two tokens.
    """
    return msgspec.json.encode(StreamOrder(tokens=tokens, pace=pace))


async def time_first(session: aiohttp.ClientSession, url: str) -> float:
    """Measure the milliseconds until the first token."""
    began = time.perf_counter()
    async with session.post(url, data=encode_order(2, 0.001)) as answer:
        await answer.content.readany()
        first = time.perf_counter()
        await answer.read()
    return (first - began) * 1000


async def run_stream(
    session: aiohttp.ClientSession, url: str, order: bytes
) -> int:
    """Read one stream and return the number of its tokens."""
    async with session.post(url, data=order) as answer:
        content = await answer.read()
    assert content.endswith(END), content[-200:]
    return (len(content) - len(END)) // len(TOKEN)


async def measure_first(
    fleet: Fleet, session: aiohttp.ClientSession
) -> dict[str, Any]:
    """Measure the added latency of the first token.

    Requests run one at a time.
    """
    direct, through = [], []
    for _ in range(FIRST_TOKENS):
        direct.append(await time_first(session, build_target_url(fleet)))
        through.append(await time_first(session, build_daemon_url(fleet)))
    positions = {50: 49, 95: 94}
    cuts = {
        name: statistics.quantiles(times, n=100)
        for name, times in (('straight', direct), ('through', through))
    }
    row: dict[str, Any] = {'measure': 'relay', 'part': 'first token'}
    for share, position in positions.items():
        for name, cut in cuts.items():
            row[f'{name}_p{share}_ms'] = round(cut[position], 3)
        added = cuts['through'][position] - cuts['straight'][position]
        row[f'added_p{share}_ms'] = round(added, 3)
    return {**row, 'requests': FIRST_TOKENS}


async def measure_tokens(
    fleet: Fleet, session: aiohttp.ClientSession, url: str, pace: float
) -> dict[str, Any]:
    """Measure tokens per second of processor time.

    :param pace: seconds between two tokens of a stream.
    """
    names = ('target-stream-1', 'stream-1', 'entry-1')
    pids = {name: fleet.children[name].pid for name in names}
    before = {name: read_processor(pid) for name, pid in pids.items()}
    order = encode_order(round(STREAM_SECONDS / pace), pace)
    began = time.perf_counter()
    counts = await asyncio.gather(
        *(run_stream(session, url, order) for _ in range(STREAMS))
    )
    seconds = time.perf_counter() - began
    spent = {
        name: read_processor(pid) - before[name] for name, pid in pids.items()
    }
    tokens = sum(counts)
    row: dict[str, Any] = {
        'measure': 'relay',
        'part': 'tokens',
        'pace_ms': pace * 1000,
        'streams': STREAMS,
        'tokens_per_s': round(tokens / seconds),
    }
    labels = ('target', 'agent', 'entry')
    for label, name in zip(labels, names, strict=True):
        row[f'{label}_us_per_token'] = round(spent[name] / tokens * 1e6, 2)
        row[f'{label}_tokens_per_core_s'] = round(
            tokens / max(spent[name], 1e-9)
        )
    return row


async def measure_all() -> list[dict[str, Any]]:
    """Run the fleet and return all rows."""
    rows = []
    async with (
        StreamFleet(blueprint=make_blueprint()) as fleet,
        aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {API_KEY}'}
        ) as session,
    ):
        await put_configuration(fleet, session)
        rows.append(await measure_first(fleet, session))
        for pace in PACES:
            direct = await measure_tokens(
                fleet, session, build_target_url(fleet), pace
            )
            rows.append({**direct, 'baseline': True})
            through = await measure_tokens(
                fleet, session, build_daemon_url(fleet), pace
            )
            cost = through['agent_us_per_token'] + through['entry_us_per_token']
            ratio = cost / direct['target_us_per_token']
            rows.append({**through, 'cost_to_target': round(ratio, 3)})
    return rows


def run() -> Iterator[dict[str, Any]]:
    """Yield all rows."""
    yield from asyncio.run(measure_all())
