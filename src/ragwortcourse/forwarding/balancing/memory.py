"""Memory of engines, in tokens of the prompts and answers that they hold.

Load pattern: a few requests are many times as long as the others. An engine
whose requests exceed its memory crashes with all of them.
"""

from typing import Final

from ragwortcourse.forwarding.call import Call
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.target_load import TargetLoad

# Callers' estimates are right at the median and often far off. The mean of
# lengths that spread by a factor of e is this multiple of their median.
MEAN_OF_MEDIAN: Final = 1.65
# Share of the memory that is used: the requests that other daemons sent lately
# are not known yet.
USED_SHARE: Final = 0.8
# Share of the memory from which on other daemons are told of large requests:
# as many untold ones as an engine has slots fit into what is not used.
TOLD_SHARE: Final = 0.01
# Another daemon may send a request as large within the age of its messages.
LATE_REQUESTS: Final = 2


def estimate_tokens(call: Call, engine: EngineProfile) -> float:
    """Estimate the tokens that an engine holds for a request at its end."""
    answer = engine.mean_answer_tokens
    if call.expected_tokens is not None:
        answer = call.expected_tokens * MEAN_OF_MEDIAN
    if call.answer_tokens:
        answer = min(answer, call.answer_tokens)
    return call.prompt_tokens + answer


def count_excess(load: TargetLoad, engine: EngineProfile) -> int:
    """Count the tokens of own requests at a target beyond the mean of as many.

    :return: zero if other daemons need not know, as the memory is not known or
        the requests are of usual length.
    """
    mean = engine.mean_prompt_tokens + engine.mean_answer_tokens
    excess = load.own_tokens - load.own * mean
    least = max(mean, engine.memory_tokens * TOLD_SHARE)
    if not engine.memory_tokens or excess < least:
        return 0
    return round(excess)


def has_memory(
    load: TargetLoad,
    engine: EngineProfile | None,
    call: Call,
    *,
    excess: int,
    now: float,
) -> bool:
    """Tell whether an engine has memory for one more request.

    The requests of other daemons count by the mean of the service. A request
    that does not fit beside others may use the whole memory of an engine that
    holds none. An unknown size is no limit.

    :param excess: tokens of other daemons' requests beyond that mean.
    """
    if engine is None or not engine.memory_tokens:
        return True
    needed = estimate_tokens(call, engine)
    if load.estimate(now) < 1:
        return needed <= engine.memory_tokens
    others = load.estimate(now) - load.own
    mean = engine.mean_prompt_tokens + engine.mean_answer_tokens
    used = load.own_tokens + others * mean + excess
    return used + LATE_REQUESTS * needed <= (engine.memory_tokens * USED_SHARE)
