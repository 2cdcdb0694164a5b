"""Whether a request is sent now, waits, or is refused at once.

Load pattern: more requests than the targets can start within their
objectives. Requests that wait together are late together, so that new ones
are sent only where a start in time is foreseen; beyond that they are refused
and told to come back when the crowd has passed. Those that are late already
lose nothing by waiting, and take what the new ones leave free.
"""

import dataclasses
from typing import Final

from ragwortcourse.forwarding.engine_profile import EngineProfile

# Part of the objective that a start must be foreseen in: loads are known
# to some requests only.
TIMELY_SHARE: Final = 0.9
# From the arrival in the middle of a pass to the end of the next one.
PASSES: Final = 1.5
# Part of the slots that late requests may fill.
LATE_SHARE: Final = 0.7
# Callers honour a time to come back up to a third of what they have left.
RETRY_AFTER_SHARE: Final = 0.3
MAX_RETRY_AFTER_SECONDS: Final = 2.0
RETURN_SPREAD: Final = 0.5
# With fewer slots taken, and no more prompts unread, there is no crowd.
FREE_SHARE: Final = 0.6
FREE_UNREAD: Final = 2
# Late requests wait here for a free slot, and look for one that often.
LATE_WAIT_SECONDS: Final = 0.6
LATE_LOOK_SECONDS: Final = 0.08
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
class TargetOccupancy:
    """The target at which a request would wait.

    :param load: requests believed to be there.
    :param unanswered: those of them that have no answer yet.
    :param latency: mean seconds of its answers; none: not known.
    :param engine: none for plain services.
    """

    load: float
    slots: int
    unanswered: float = 0
    latency: float | None = None
    engine: EngineProfile | None = None


def estimate_slot_interval(place: TargetOccupancy) -> float:
    """Seconds between two ends while every slot is taken."""
    engine = place.engine
    if engine is None:
        return (place.latency or UNKNOWN_SECONDS) / max(place.slots, 1)
    step = engine.step + engine.step_per_request * engine.slots
    reading = engine.mean_prompt_tokens / max(engine.prefill_rate, 1)
    return reading + engine.mean_answer_tokens * step / max(engine.slots, 1)


def estimate_start_seconds(place: TargetOccupancy, demand: Demand) -> float:
    """Seconds from the free slot to the first bytes of the answer."""
    engine = place.engine
    if engine is None:
        return place.latency or UNKNOWN_SECONDS
    unread = place.unanswered * engine.mean_prompt_tokens + demand.prompt_tokens
    reading = unread / max(engine.prefill_rate, 1) * READING_STRETCH
    return reading + estimate_pass_seconds(place, engine) * PASSES


def estimate_pass_seconds(
    place: TargetOccupancy, engine: EngineProfile
) -> float:
    """Seconds of one pass; prompts of others stretch it as load grows."""
    step = engine.step + engine.step_per_request * engine.slots
    return (
        step * engine.steps_per_pass * (1 + place.load / max(engine.slots, 1))
    )


def foresee_wait(place: TargetOccupancy) -> float:
    """Seconds until a slot is free for one request more."""
    ahead = max(place.load + 1 - place.slots, 0)
    return ahead * estimate_slot_interval(place)


def is_admitted(place: TargetOccupancy, demand: Demand) -> bool:
    """Tell whether a request should be sent now.

    One that is late already takes only a slot that new ones can spare.
    """
    if place.load < 1:
        # It can't be served sooner anywhere.
        return True
    if demand.time_left <= 0:
        return place.load + 1 <= place.slots * LATE_SHARE
    if (
        place.load < place.slots * FREE_SHARE
        and place.unanswered <= FREE_UNREAD
    ):
        # A long prompt is late everywhere; refusing it frees nothing.
        return True
    foreseen = foresee_wait(place) + estimate_start_seconds(place, demand)
    return foreseen <= demand.time_left * TIMELY_SHARE


def choose_retry_after(*, time_left: float, chance: float) -> float:
    """Seconds after which a refused caller should come back.

    It is late by then whenever it comes, and is better off behind the crowd
    than refused again.

    :param time_left: seconds that the caller waits in all.
    :param chance: from zero to one; spreads those refused together.
    """
    longest = min(time_left * RETRY_AFTER_SHARE, MAX_RETRY_AFTER_SECONDS)
    return longest * (1 - chance * RETURN_SPREAD)
