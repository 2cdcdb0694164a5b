"""A caller of a soak whose request crashes the targets that run it."""

import asyncio
import contextlib
import random
import time
import uuid

import aiohttp

from fakes.soak_caller import make_headers
from fakes.soak_records import Kind, SentRequest
from fakes.soak_site import SoakSite
from fakes.soak_target import CRASH_PATH

PERIOD_SECONDS = 1.5
DEADLINE_MS = 2500


async def run_crasher(site: SoakSite, rng: random.Random) -> None:
    """Send the same request to any forwarder, again and again, forever."""
    async with aiohttp.ClientSession() as session:
        while True:
            daemon = rng.choice(list(site.forwarders))
            request = SentRequest(
                attempt=uuid.UUID(int=rng.getrandbits(128)).hex,
                kind=Kind.LOOKUP,
                key=site.state.keys[0],
                daemon=daemon,
                path=CRASH_PATH,
                sent_at=time.monotonic(),
            )
            site.records.crash_requests[request.attempt] = request
            await _send(session, site, request)
            await asyncio.sleep(PERIOD_SECONDS * rng.uniform(0.7, 1.3))


async def _send(
    session: aiohttp.ClientSession, site: SoakSite, request: SentRequest
) -> None:
    headers = make_headers(request, DEADLINE_MS)
    url = f'http://{site.callers[request.daemon]}{request.path}'
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with (
            asyncio.timeout(DEADLINE_MS / 1000),
            session.post(url, headers=headers) as response,
        ):
            request.status = response.status
            await response.read()
