"""Whether a request may start in time, or is refused at once.

Load pattern: more requests than the targets can start within their
objectives. Requests that wait together are late together, so that beyond
the places from which a start in time is foreseen new ones are refused, and
told when a place may be free.
"""

import dataclasses
from typing import Final

from ragwortcourse.forwarding.engine_rules import EngineRules

# Part of the objective that a start must be foreseen in: loads are known
# to some requests only.
TIMELY_SHARE: Final = 0.9
# Prompts are read between the steps of the requests that write.
READING_STRETCH: Final = 1.3
# A plain service that has not answered yet.
UNKNOWN_SECONDS: Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What a request asks of a target.

    :param prompt_tokens: zero for plain services.
    :param time_left: seconds in which it must begin to earn full credit;
        zero or less where it is late already.
    """

    prompt_tokens: int
    time_left: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """The target at which a request would wait.

    :param load: requests believed to be there.
    :param starting: those of them that have no answer yet.
    :param latency: mean seconds of its answers; none: not known.
    :param engine: none for plain services.
    """

    load: float
    slots: int
    starting: float = 0
    latency: float | None = None
    engine: EngineRules | None = None


def read_turnover(place: Place) -> float:
    """Seconds between two ends while every slot is taken."""
    engine = place.engine
    if engine is None:
        return (place.latency or UNKNOWN_SECONDS) / max(place.slots, 1)
    step = engine.step + engine.step_per_request * engine.slots
    reading = engine.usual_prompt / max(engine.read_rate, 1)
    return reading + engine.usual_answer * step / max(engine.slots, 1)


def read_start(place: Place, demand: Demand) -> float:
    """Seconds from the free slot to the first bytes of the answer."""
    engine = place.engine
    if engine is None:
        return place.latency or UNKNOWN_SECONDS
    step = engine.step + engine.step_per_request * engine.slots
    unread = place.starting * engine.usual_prompt + demand.prompt_tokens
    reading = unread / max(engine.read_rate, 1)
    return reading * READING_STRETCH + step * engine.stride


def foresee_wait(place: Place) -> float:
    """Seconds until a slot is free for one request more."""
    ahead = max(place.load + 1 - place.slots, 0)
    return ahead * read_turnover(place)


def is_timely(place: Place, demand: Demand) -> bool:
    """Tell whether a request should be sent now.

    One that is late already only takes a slot that is free.
    """
    wait = foresee_wait(place)
    if demand.time_left <= 0:
        return wait <= 0
    if place.load < 1:
        # It can't be served sooner anywhere.
        return True
    foreseen = wait + read_start(place, demand)
    return foreseen <= demand.time_left * TIMELY_SHARE
