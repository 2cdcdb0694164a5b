"""Live answers that share links with weight transfers, in virtual time."""

import asyncio
import itertools
import math
import random
from collections.abc import Sequence
from typing import Final

from fakes.links import Network
from ragwortcourse.clock import read_clock

# Time of the engine within the latency bound for 95 of 100 answers.
PREFILL_SECONDS: Final = 0.45
TOKEN_SECONDS: Final = 0.04
TOKENS: Final = 50


class LiveStreams:
    """A caller of one host that reads one answer after the other.

    :param caller: name of the caller in the network.
    :param token_bytes: bytes of one token, at the scale of the network.
    :ivar first_seconds: time to the first token of each answer.
    :ivar gap_seconds: times between consecutive tokens.
    """

    def __init__(
        self,
        *,
        network: Network,
        host: str,
        caller: str,
        token_bytes: float,
        seed: int = 1,
    ) -> None:
        self.first_seconds: list[float] = []
        self.gap_seconds: list[float] = []
        self._network = network
        self._host = host
        self._caller = caller
        self._token_bytes = token_bytes
        self._rng = random.Random(f'{seed}-{host}-{caller}')

    async def read(self) -> None:
        """Read answers until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, TOKEN_SECONDS))
            await self._read_answer()

    async def _read_answer(self) -> None:
        began = read_clock()
        await self._network.pass_live(
            self._caller, self._host, 10 * self._token_bytes
        )
        await asyncio.sleep(PREFILL_SECONDS)
        async with asyncio.TaskGroup() as group:
            tokens = []
            for _ in range(TOKENS):
                tokens.append(group.create_task(self._send_token()))
                await asyncio.sleep(TOKEN_SECONDS)
        arrivals = [token.result() for token in tokens]
        self.first_seconds.append(arrivals[0] - began)
        self.gap_seconds += [
            after - before for before, after in itertools.pairwise(arrivals)
        ]

    async def _send_token(self) -> float:
        return await self._network.pass_live(
            self._host, self._caller, self._token_bytes
        )


def find_percentile(values: Sequence[float], share: float) -> float:
    """Find the smallest value that ``share`` of the values do not exceed."""
    return sorted(values)[math.ceil(share * len(values)) - 1]
