"""Weight distribution that competes with live answers for links.

Time is virtual.
"""

import asyncio
import dataclasses
import random
from typing import Final

from fakes.landings import LandingFleet
from fakes.live_stream import LiveStreams, find_percentile

CHUNK_BYTES: Final = 65_536
# 100 Mbit/s at a scale of 1/16: a chunk takes as long as 1 MiB on such a link.
LINK_RATE: Final = 781_250
TOKEN_BYTES: Final = 16
HOSTS: Final = 4
CHUNKS: Final = 60
CALLER: Final = 'caller'
CALLER_RATE: Final = 1e12
LONGEST_SECONDS: Final = 3000
SHARE: Final = 0.95


@dataclasses.dataclass(frozen=True, kw_only=True)
class LiveLatency:
    """Latency of live answers during a landing.

    :param seconds: until all hosts served the version; zero without a landing.
    :param first_seconds: until the first token, for 95 of 100 answers.
    :param gap_seconds: between two tokens, for 95 of 100 pairs.
    """

    seconds: float
    first_seconds: float
    gap_seconds: float


async def measure_live_answers(
    *, paced: bool, landing: bool = True
) -> LiveLatency:
    """Measure live answers of all hosts while a version lands on them.

    :param paced: true to set the rate of the link in the settings.
    :param landing: false to measure live answers alone.
    """
    fleet = LandingFleet(
        hosts=HOSTS,
        regions_by_domain={'a': 'region'},
        rate=LINK_RATE,
        link_rate=LINK_RATE if paced else 0,
    )
    fleet.network.place(CALLER, 'region', 'a')
    for links in (fleet.network.up, fleet.network.down):
        links[CALLER].rate = CALLER_RATE
    streams = [
        LiveStreams(
            network=fleet.network,
            host=host,
            caller=CALLER,
            token_bytes=TOKEN_BYTES,
        )
        for host in fleet.hosts
    ]
    fleet.live.update(dict.fromkeys(fleet.hosts, 1))
    tasks = [asyncio.create_task(stream.read()) for stream in streams]
    seconds = await land(fleet) if landing else 0
    if not landing:
        await asyncio.sleep(CHUNKS * CHUNK_BYTES / LINK_RATE)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await fleet.stop()
    first = [each for stream in streams for each in stream.first_seconds]
    gaps = [each for stream in streams for each in stream.gap_seconds]
    return LiveLatency(
        seconds=seconds,
        first_seconds=find_percentile(first, SHARE),
        gap_seconds=find_percentile(gaps, SHARE),
    )


async def land(fleet: LandingFleet) -> float:
    """Deploy a new version and return the seconds until all hosts serve it."""
    content = random.Random(1).randbytes(CHUNKS * CHUNK_BYTES)
    fleet.deploy('v1', fleet.publish('v1', content, CHUNK_BYTES))
    fleet.start()
    return await fleet.wait_for('v1', LONGEST_SECONDS)
