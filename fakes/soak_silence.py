"""Silences of the stand-in targets of a soak, which then go on."""

import asyncio
import dataclasses
import random
import time

from fakes.soak_records import TargetRun

SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 1.8
# Share of runs that fall silent by themselves.
SILENT_SHARE = 0.12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Silence:
    """One silence of one run.

    :param step: number of the step of the answer before which it falls silent;
        zero is its head.
    """

    step: int
    seconds: float


def draw_silence(attempt: str, target: str, steps: int) -> Silence | None:
    """Draw the silence of a run; most runs have none."""
    rng = random.Random(f'{attempt} {target}')
    if rng.random() > SILENT_SHARE:
        return None
    return Silence(
        step=rng.randrange(steps),
        seconds=rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS),
    )


class TargetSilence:
    """Silences of one target: of single runs, and of all of it at once."""

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._until: float = 0

    def begin(self, seconds: float) -> None:
        """Let the whole target fall silent."""
        self._until = max(self._until, time.monotonic() + seconds)

    async def keep(self) -> None:
        """Wait while the whole target is silent."""
        while (left := self._until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    async def keep_in_run(
        self, run: TargetRun, step: int, seconds: float, steps: int
    ) -> None:
        """Do one step of a run, which lasts longer if there is a silence.

        :param seconds: usual length of the step.
        :param steps: number of steps of the answer.
        """
        await asyncio.sleep(seconds)
        own = draw_silence(run.attempt, self._target, steps)
        if own is not None and own.step == step:
            run.silences.append(_read_span(own.seconds))
            await asyncio.sleep(own.seconds)
        while (left := self._until - time.monotonic()) > 0:
            run.silences.append(_read_span(left))
            await asyncio.sleep(left)


def _read_span(seconds: float) -> tuple[float, float]:
    now = time.monotonic()
    return now, now + seconds
