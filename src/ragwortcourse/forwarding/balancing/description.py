"""Description of targets as candidates for a request."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import TargetOccupancy
from ragwortcourse.forwarding.balancing.pace_mean import USUAL_PACE
from ragwortcourse.forwarding.choice_refusals import is_limited
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.placement import Candidate, Distance
from ragwortcourse.forwarding.target import Target

# A target that owes answers and sends nothing for this long is avoided:
# several passes of a loaded engine.
SILENT_SECONDS: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Found:
    """Target found for a request, with its occupancy.

    :param cautious_pace: pace that the target seldom exceeds.
    """

    candidate: Candidate
    place: TargetOccupancy
    cautious_pace: float = USUAL_PACE


def describe_targets(
    forwarder: Forwarder,
    targets: Iterable[Target],
    *,
    engine: EngineProfile | None,
    newest: int,
) -> Iterator[Found]:
    """Describe targets as candidates.

    :param engine: of the service; none for plain services.
    :param newest: version whose engines will not change weights soon, so
        that a request need not move again; zero to ignore versions.
    """
    now = read_clock()
    for target in targets:
        load = forwarder.find_load(target)
        candidate = Candidate(
            target=target,
            load=load.estimate(now),
            unanswered=load.estimate_unanswered(now),
            distance=_measure_distance(forwarder, target),
            failure_score=load.target_health.score_failures(now),
            changing=load.read_version(target) < newest,
            limited=is_limited(forwarder, target),
            silent=load.read_silence(now) > SILENT_SECONDS,
            seconds_available=now - load.unavailable_until,
        )
        pace = forwarder.balancing.paces.estimate(target, now)
        place = TargetOccupancy(
            load=candidate.load,
            unanswered=candidate.unanswered,
            slots=target.slots,
            latency=load.latency,
            engine=engine,
            pace=pace.pace,
        )
        yield Found(
            candidate=candidate, place=place, cautious_pace=pace.cautious
        )


def _measure_distance(forwarder: Forwarder, target: Target) -> Distance:
    if target.failure_domain == forwarder.settings.failure_domain:
        return Distance.SAME_DOMAIN
    if target.region == forwarder.settings.region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION
