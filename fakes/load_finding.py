"""A broken promise in a round of weights."""

import dataclasses

from fakes.load_cause import LoadCause


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadFinding:
    """What was found.

    :param at: seconds of the round.
    :param detail: what the engine had and was to have.
    """

    at: float
    cause: LoadCause
    detail: str

    def __str__(self) -> str:
        return f'{self.at:.2f} {self.cause}: {self.detail}'
