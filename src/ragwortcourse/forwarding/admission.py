"""Admission control: send a request now, let it wait or refuse it.

Load pattern: more requests than the targets can start within the objectives
of their routes. A long queue makes every request in it late. A new request
is therefore sent only where it is expected to start in time; otherwise it is
refused with a time to retry after the overload. A request that has already
missed its objective loses nothing by waiting and uses the slots that new
requests leave free.
"""

import dataclasses
from typing import Final

from ragwortcourse.forwarding.engine_profile import EngineProfile

# Share of the remaining objective within which a start must be expected: the
# load of a target is known only to within a few requests.
TIMELY_SHARE: Final = 0.9
# A request arrives on average in the middle of a pass of the engine and gets
# its first token at the end of the next one.
PASSES: Final = 1.5
# Share of the slots that late requests may fill.
LATE_SHARE: Final = 0.7
# Callers honour Retry-After up to a third of their remaining time.
RETRY_AFTER_SHARE: Final = 0.3
MAX_RETRY_AFTER_SECONDS: Final = 2.0
RETURN_SPREAD: Final = 0.5
# A target is not overloaded below this share of used slots with at most this
# many unprocessed prompts.
FREE_SHARE: Final = 0.6
FREE_UNREAD: Final = 2
# Late requests wait this long in the entry daemon for a free slot and check
# at this interval.
LATE_WAIT_SECONDS: Final = 0.6
LATE_POLL_SECONDS: Final = 0.08
# Prefill of a prompt is interleaved with the decode steps of other requests.
READING_STRETCH: Final = 1.3
# Assumed latency of a plain service that has not answered yet.
UNKNOWN_SECONDS: Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Demand of a request on a target.

    :param prompt_tokens: zero for plain services.
    :param time_left: seconds within which the answer must begin to meet the
        objective; zero or less if the request is already late.
    """

    prompt_tokens: int
    time_left: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetOccupancy:
    """Occupancy of the target at which a request would wait.

    :param load: estimated number of requests at the target.
    :param slots: requests that the target runs at once.
    :param unanswered: requests of ``load`` without an answer yet.
    :param latency: mean seconds to an answer; none: not known.
    :param engine: none for plain services.
    :param pace: how long work of an engine takes now, as a multiple of the
        time by its profile. The latency of a plain service contains it.
    """

    load: float
    slots: int
    unanswered: float = 0
    latency: float | None = None
    engine: EngineProfile | None = None
    pace: float = 1


def estimate_slot_interval(place: TargetOccupancy) -> float:
    """Estimate the seconds between two completions at full occupancy."""
    engine = place.engine
    if engine is None:
        return (place.latency or UNKNOWN_SECONDS) / max(place.slots, 1)
    step = engine.step + engine.step_per_request * engine.slots
    reading = engine.mean_prompt_tokens / max(engine.prefill_rate, 1)
    writing = engine.mean_answer_tokens * step / max(engine.slots, 1)
    return (reading + writing) * place.pace


def estimate_start_seconds(place: TargetOccupancy, demand: Demand) -> float:
    """Estimate the seconds from a free slot to the first bytes of an answer."""
    engine = place.engine
    if engine is None:
        return place.latency or UNKNOWN_SECONDS
    unread = place.unanswered * engine.mean_prompt_tokens + demand.prompt_tokens
    reading = unread / max(engine.prefill_rate, 1) * READING_STRETCH
    passes = estimate_pass_seconds(place, engine) * PASSES
    return reading * place.pace + passes


def estimate_pass_seconds(
    place: TargetOccupancy, engine: EngineProfile
) -> float:
    """Estimate the seconds of one pass.

    Prompts of other requests lengthen a pass as load grows.
    """
    step = engine.step + engine.step_per_request * engine.slots
    fullness = place.load / max(engine.slots, 1)
    return step * engine.steps_per_pass * (1 + fullness) * place.pace


def estimate_wait(place: TargetOccupancy) -> float:
    """Estimate the seconds until a slot is free for one more request."""
    ahead = max(place.load + 1 - place.slots, 0)
    return ahead * estimate_slot_interval(place)


def is_admitted(place: TargetOccupancy, demand: Demand) -> bool:
    """Tell whether a request should be sent now.

    A request that is already late gets only a slot beyond those kept for new
    requests.
    """
    if place.load < 1:
        # No other target can serve the request sooner.
        return True
    if demand.time_left <= 0:
        return place.load + 1 <= place.slots * LATE_SHARE
    if (
        place.load < place.slots * FREE_SHARE
        and place.unanswered <= FREE_UNREAD
    ):
        # A long prompt is late at every target, so a refusal gains nothing.
        return True
    estimated_seconds = estimate_wait(place) + estimate_start_seconds(
        place, demand
    )
    return estimated_seconds <= demand.time_left * TIMELY_SHARE


def choose_retry_after(*, time_left: float, chance: float) -> float:
    """Choose the seconds after which a refused caller should retry.

    The retry misses its objective in any case. A retry after the overload is
    better than a second refusal.

    :param time_left: seconds that the caller still waits.
    :param chance: jitter from zero to one, which spreads callers that were
        refused at the same time.
    """
    longest = min(time_left * RETRY_AFTER_SHARE, MAX_RETRY_AFTER_SECONDS)
    return longest * (1 - chance * RETURN_SPREAD)
