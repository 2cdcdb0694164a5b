"""Callers of a soak, which keep their connections open."""

import asyncio
import random
import time
import uuid
from collections.abc import AsyncIterator

import aiohttp

from fakes.soak_body import make_body, send_body
from fakes.soak_records import STREAMS, Ending, Kind, SentRequest
from fakes.soak_site import SoakSite
from fakes.soak_state import KEYS

PAUSE_SECONDS = 0.12
DEADLINE_MS = 4000
OLD_KEY_SHARE = 0.3
# Half of the attempt ids, in hexadecimal, are below this.
HALF = '8'


async def run_caller(
    site: SoakSite, rng: random.Random, *, stays: bool
) -> None:
    """Send one request after another until cancelled.

    :param stays: true for a caller that stays with a daemon, at short
        intervals, until its connection ends.
    """
    daemon = rng.choice(list(site.forwarders))
    async with aiohttp.ClientSession() as session:
        while True:
            kind = rng.choice(list(Kind))
            request = SentRequest(
                attempt=uuid.UUID(int=rng.getrandbits(128)).hex,
                kind=kind,
                key=_draw_key(rng, site.state.keys),
                daemon=daemon,
                path=f'/{kind.value}/{rng.randrange(100)}',
                sent_at=time.monotonic(),
            )
            site.records.requests.append(request)
            await _send(session, site, request)
            is_served = request.ending is Ending.COMPLETE
            if not (stays and is_served):
                daemon = rng.choice(list(site.forwarders))
            pause = PAUSE_SECONDS * rng.uniform(0.5, 1.5)
            await asyncio.sleep(pause / 4 if stays else pause)


def make_headers(request: SentRequest, deadline_ms: int) -> dict[str, str]:
    """Build the headers that every request of a caller has."""
    return {
        'Host': 'desk.example',
        'Authorization': f'Bearer {request.key}',
        'Ragwortcourse-Attempt-Id': request.attempt,
        'Ragwortcourse-Deadline-Ms': str(deadline_ms),
    }


def _draw_key(rng: random.Random, valid: list[str]) -> str:
    """Draw a key; callers keep using revoked ones."""
    return rng.choice(KEYS if rng.random() < OLD_KEY_SHARE else valid)


async def _send_whole(request: SentRequest) -> AsyncIterator[bytes]:
    """Yield the body of a request, then note that the request was whole."""
    async for piece in send_body(request.attempt):
        yield piece
    request.whole_at = time.monotonic()


async def _send(
    session: aiohttp.ClientSession, site: SoakSite, request: SentRequest
) -> None:
    headers = make_headers(request, DEADLINE_MS)
    size = len(make_body(request.attempt))
    # The others are sent in chunks.
    if request.attempt < HALF:
        headers['Content-Length'] = str(size)
    url = f'http://{site.callers[request.daemon]}{request.path}'
    body = bytearray()
    try:
        async with (
            asyncio.timeout(DEADLINE_MS / 1000),
            session.post(
                url, headers=headers, data=_send_whole(request)
            ) as response,
        ):
            request.stamp = response.headers.get(
                'Ragwortcourse-Server-Stamp', ''
            )
            async for piece in response.content.iter_any():
                body.extend(piece)
            request.status = response.status
            request.ending = Ending.COMPLETE
    except aiohttp.ClientConnectorError:
        request.ending = Ending.UNREACHED
    except TimeoutError:
        request.ending = Ending.LEFT
    except (aiohttp.ClientError, OSError):
        # A broken connection leaves the outcome unknown.
        request.ending = Ending.CUT
    finally:
        request.ended_at = time.monotonic()
        request.limit = min(
            DEADLINE_MS / 1000,
            site.state.read_limit(request.kind, request.sent_at),
        )
        text = body.decode()
        is_stream = request.kind in STREAMS
        request.body = _list_events(text) if is_stream else text


def _list_events(body: str) -> str:
    """Extract the ids of the events of a stream, in order."""
    return ' '.join(
        line.removeprefix('id: ')
        for line in body.splitlines()
        if line.startswith('id: ')
    )
