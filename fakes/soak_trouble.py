"""Trouble of the stand-in engines of a soak with the calls of their loader."""

import asyncio
import enum
import random
import time
from collections.abc import Callable

from fakes.soak_records import InjectedFault, Records

# The loader gives a call up after this time.
GIVEN_UP_SECONDS = 1.0
LATE_SECONDS = (0.5, 10.0)
PAUSE_SECONDS = (0.05, 0.9)
# Until a chunk that was staged turns bad.
ROT_SECONDS = (0.0, 4.0)
# Of a loader that is stopped as it reads a staged chunk.
STOP_SECONDS = (0.5, 4.0)


class EngineCall(enum.StrEnum):
    """Calls of a loader that may meet trouble."""

    ORDER = 'order'
    WRITE = 'write'


# Share of calls that are performed after the loader gave them up.
LATE_SHARES = {EngineCall.ORDER: 0.3, EngineCall.WRITE: 0.06}
PAUSE_SHARE = 0.15
ROT_SHARE = 0.08
# Each check reads all chunks.
STOP_SHARE = 0.02


class EngineTrouble:
    """Trouble of one engine, drawn by seed in the order of its calls.

    :ivar stop_loader: stops the engine's loader for some seconds.
    """

    def __init__(self, *, seed: str, target: str, records: Records) -> None:
        self.is_on = False
        self.stop_loader: Callable[[float], None] | None = None
        self._target = target
        self._records = records
        self._rngs = {
            call: random.Random(f'{seed} {call}') for call in EngineCall
        }
        self._rot_rng = random.Random(f'{seed} rot')
        self._stop_rng = random.Random(f'{seed} stop')

    async def delay(self, call: EngineCall) -> None:
        """Wait before a call is performed; it may be given up meanwhile."""
        rng = self._rngs[call]
        if not self.is_on:
            return
        drawn, late = rng.random(), LATE_SHARES[call]
        if drawn < late:
            seconds = GIVEN_UP_SECONDS + rng.uniform(*LATE_SECONDS)
        elif drawn < late + PAUSE_SHARE:
            seconds = rng.uniform(*PAUSE_SECONDS)
        else:
            return
        self._note(f'delayed {call}', seconds)
        await asyncio.sleep(seconds)

    def rot_later(self, rot: Callable[[int], None], index: int) -> None:
        """Let a chunk that was staged turn bad, for few of them."""
        if self.is_on and self._rot_rng.random() < ROT_SHARE:
            seconds = self._rot_rng.uniform(*ROT_SECONDS)
            self._note(f'rot of {index}', seconds)
            asyncio.get_running_loop().call_later(seconds, rot, index)

    def note_read(self) -> None:
        """Stop the loader that has read a staged chunk, at few reads."""
        if not self.is_on or self.stop_loader is None:
            return
        if self._stop_rng.random() < STOP_SHARE:
            self.stop_loader(self._stop_rng.uniform(*STOP_SECONDS))

    def _note(self, name: str, seconds: float) -> None:
        now = time.monotonic()
        self._records.troubles.append(
            InjectedFault(
                name=name,
                whom=self._target,
                began_at=now,
                ended_at=now + seconds,
            )
        )
