"""``make demo``: from publication to tracing on loopback, step by step."""

import asyncio
import os
import random
import sys
import time
from typing import Final

import aiohttp
import msgspec

from fakes.blueprint import (
    OPERATOR_TOKEN,
    Blueprint,
    EntryPlan,
    TargetPlan,
)
from fakes.child import ROOT
from fakes.fleet import Fleet
from fakes.probes import hash_key

API_KEY: Final = 'demo-key'
MODEL_BYTES: Final = 3_000_000
DEMO_SECONDS: Final = 55.0
LANDING_SECONDS: Final = 30.0

CONFIGURATION: Final = """
[[failure_domains]]
name = "north"
region = "inland"

[[failure_domains]]
name = "south"
region = "inland"

[[client_accounts]]
name = "reader"
weight = 1.0
key_sha256 = ["{key}"]

[[models]]
name = "drafts"
model = "drafts"
version = "v1"
manifest_sha256 = "{manifest}"
failure_domains = ["north", "south"]
batch = 2

[[services]]
name = "renewals"
failure_domains = ["north"]
non_idempotent = [{{ method = "POST", path_prefix = "/charge" }}]
"""


class DemoFailedError(Exception):
    """A step of the demo failed."""


def make_blueprint() -> Blueprint:
    """Plan two entry daemons, two engines and one plain service."""
    return Blueprint(
        entries=(
            EntryPlan(name='entry-1', failure_domain='north'),
            EntryPlan(name='entry-2', failure_domain='south'),
        ),
        targets=(
            TargetPlan(
                name='engine-1', deployment='drafts', failure_domain='north'
            ),
            TargetPlan(
                name='engine-2', deployment='drafts', failure_domain='south'
            ),
            TargetPlan(
                name='service-1',
                deployment='renewals',
                failure_domain='north',
                is_model_engine=False,
            ),
        ),
        regions={'north': 'inland', 'south': 'inland'},
        collector=True,
    )


def show(title: str, text: str = '') -> None:
    """Print the title of a step, and its text if there is one."""
    print(f'\n== {title}')
    if text:
        print(text.rstrip())


def require(condition: bool, message: str) -> None:
    """Fail the demo unless a condition holds.

    :raises DemoFailedError: the condition is false.
    """
    if not condition:
        raise DemoFailedError(message)


async def run_command(fleet: Fleet, *words: str) -> str:
    """Run a ``ragwortcourse`` command and return its output.

    :raises DemoFailedError: the command exited with a status other than 0.
    """
    entry = fleet.plan.listen['entry-1'].operators
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'ragwortcourse.cli',
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        cwd=ROOT,
        env={
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}',
            'RAGWORTCOURSE_ENTRY': f'http://{entry}',
            'RAGWORTCOURSE_TOKEN': OPERATOR_TOKEN,
        },
    )
    output, _ = await process.communicate()
    text = output.decode()
    require(process.returncode == 0, f'ragwortcourse {words[0]}: {text}')
    return text


async def publish_model(fleet: Fleet) -> str:
    """Publish a small model to the origin; return its manifest digest."""
    path = fleet.folder / 'model.bin'
    path.write_bytes(random.Random(1).randbytes(MODEL_BYTES))
    origin = f'http://{fleet.plan.platform}/origin'
    text = await run_command(
        fleet,
        'publish',
        str(path),
        '--model',
        'drafts',
        '--version',
        'v1',
        '--origin',
        origin,
        '--json',
    )
    manifest = msgspec.json.decode(text)['manifest_sha256']
    show('Published a model to the origin', f'manifest {manifest}')
    return str(manifest)


async def accept_configuration(fleet: Fleet, manifest: str) -> None:
    """Apply the demo's configuration."""
    path = fleet.folder / 'configuration.toml'
    path.write_text(
        CONFIGURATION.format(key=hash_key(API_KEY), manifest=manifest)
    )
    text = await run_command(fleet, 'apply', str(path))
    show('Accepted a configuration', text)


async def wait_for_replicas(fleet: Fleet) -> None:
    """Wait until both engines have confirmed the version."""
    started = time.monotonic()
    while True:
        text = await run_command(fleet, 'replicas', 'drafts', '--json')
        (progress,) = msgspec.json.decode(text)
        if progress['ready'] == 2:
            break
        waited = time.monotonic() - started
        require(waited < LANDING_SECONDS, f'weights have not landed: {text}')
        await asyncio.sleep(0.3)
    show('Landed the model on both engines', text)


async def stream_chat(fleet: Fleet, session: aiohttp.ClientSession) -> str:
    """Stream a chat completion and return its request id."""
    url = f'http://{fleet.plan.listen["entry-1"].callers}/v1/chat/completions'
    question = {
        'model': 'drafts',
        'stream': True,
        'messages': [{'role': 'user', 'content': 'Draft a renewal letter.'}],
    }
    async with session.post(url, json=question) as answer:
        body = (await answer.read()).decode()
        version = answer.headers.get('x-model-version', '')
        request = answer.headers.get('x-request-id', '')
        require(answer.status == 200, f'chat: {answer.status} {body}')
        require(version == 'v1', f'chat: version {version!r}')
        require('[DONE]' in body, f'chat: no end: {body}')
        show(f'Streamed a chat completion from version {version}', body)
    return request


async def charge_twice(fleet: Fleet, session: aiohttp.ClientSession) -> str:
    """Send a charge to both entry daemons; check that it runs once.

    :return: request id of the first call.
    """
    entries = ('entry-1', 'entry-2')
    bodies = []
    request = ''
    for entry in entries:
        address = fleet.plan.listen[entry].callers
        url = f'http://{address}/services/renewals/charge/42'
        headers = {'Idempotency-Key': 'renewal-42'}
        async with session.post(
            url, headers=headers, json={'cents': 900}
        ) as answer:
            bodies.append(await answer.text())
            request = request or answer.headers.get('x-request-id', '')
            require(
                answer.status == 200, f'charge: {answer.status} {bodies[-1]}'
            )
    service = fleet.plan.target_address['service-1']
    async with session.get(f'http://{service}/runs') as answer:
        runs = await answer.json()
    require(runs == {'renewal-42': 1}, f'charge ran otherwise: {runs}')
    show('Sent a charge twice, at two daemons; it ran once', '\n'.join(bodies))
    return request


async def show_trace(fleet: Fleet, session: aiohttp.ClientSession) -> None:
    """Show one trace with spans of entry daemon, agent and engine.

    :raises DemoFailedError: no such trace was exported within 15 s.
    """
    started = time.monotonic()
    url = f'http://{fleet.plan.collector}/traces'
    while time.monotonic() - started < 15:
        async with session.get(url) as answer:
            traces = await answer.json()
        for trace, spans in traces.items():
            services = {span['service'] for span in spans}
            if any('engine' in service for service in services) and (
                {'ragwortcourse-entry', 'ragwortcourse-agent'} <= services
            ):
                names = ', '.join(sorted(span['name'] for span in spans))
                show('One trace crosses entry, agent and engine', names)
                print(f'trace {trace}')
                return
        await asyncio.sleep(0.5)
    raise DemoFailedError('no trace crosses entry, agent and engine')


async def walk_through(fleet: Fleet) -> None:
    """Run every step of the demo in order."""
    manifest = await publish_model(fleet)
    await accept_configuration(fleet, manifest)
    for entry in ('entry-1', 'entry-2'):
        await fleet.wait_for(entry, '/readyz')
    await wait_for_replicas(fleet)
    headers = {'Authorization': f'Bearer {API_KEY}'}
    async with aiohttp.ClientSession(headers=headers) as session:
        chat = await stream_chat(fleet, session)
        charge = await charge_twice(fleet, session)
        for request in (chat, charge):
            text = await run_command(fleet, 'explain', request)
            show(f'Explained {request}', text)
        await show_trace(fleet, session)


async def run_demo() -> None:
    """Start the fleet, run the demo and stop the fleet.

    :raises DemoFailedError: a step failed, or a process exited with a
        status other than 0.
    """
    fleet = Fleet(blueprint=make_blueprint())
    statuses: dict[str, int] = {}
    try:
        await fleet.start()
        show('Started', ', '.join(fleet.children))
        await walk_through(fleet)
    except BaseException:
        for name, child in fleet.children.items():
            print(f'--- {name}\n{child.log[-3000:]}', file=sys.stderr)
        raise
    finally:
        statuses = await fleet.stop()
    failed = {name: status for name, status in statuses.items() if status}
    require(not failed, f'ended with another status than 0: {failed}')
    show('Stopped everything by SIGTERM', f'{len(statuses)} processes, all 0')


def main() -> None:
    """Run the demo; exit with 1 if a step fails or time runs out."""

    async def run_bounded() -> None:
        async with asyncio.timeout(DEMO_SECONDS):
            await run_demo()

    try:
        asyncio.run(run_bounded())
    except (DemoFailedError, TimeoutError) as error:
        print(f'demo failed: {error!r}', file=sys.stderr)
        sys.exit(1)
    print('\nEvery step held.')


if __name__ == '__main__':
    main()
