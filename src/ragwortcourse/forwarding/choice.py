"""Choice of the target of one try, or of the refusal."""

import functools
from collections.abc import Collection, Iterator
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import Demand, TargetOccupancy
from ragwortcourse.forwarding.call import PermittedCall
from ragwortcourse.forwarding.choice_refusals import (
    is_limited,
    refuse_all,
    refuse_crowd,
)
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.placement import (
    SAMPLED_TARGETS,
    Candidate,
    Distance,
    choose_candidate,
)
from ragwortcourse.forwarding.random_targets import draw_targets
from ragwortcourse.forwarding.rate_share import compute_share
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.forwarding.scheduling.sending import may_send
from ragwortcourse.forwarding.second_ask import Silence, is_worth_asking
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.version_bounds import read_required_version
from ragwortcourse.identifiers import ServiceName, TargetName

# Service without targets.
NO_SERVICE: Final = ServiceName('')
# A target that owes answers and sends nothing for this long is avoided:
# several passes of a loaded engine.
SILENT_SECONDS: Final = 0.8


def choose_service(forwarder: Forwarder, work: PermittedCall) -> ServiceName:
    """Draw one of the services of the route, by their weights.

    :return: ``NO_SERVICE`` if none of them gets traffic.
    """
    shares = [share for share in work.route.services if share.weight > 0]
    if not shares:
        return NO_SERVICE
    chosen = forwarder.rng.choices(
        shares, weights=[share.weight for share in shares]
    )
    return chosen[0].service


def choose_target(
    forwarder: Forwarder,
    work: PermittedCall,
    service: ServiceName,
    tried: Collection[TargetName],
    silence: Silence | None = None,
) -> Target | Refusal:
    """Choose the best target that has not been tried yet.

    :param tried: targets to which the request was sent before.
    :param silence: of the targets that still have the request; none if no
        target has it.
    :return: a refusal if no target is usable, if a new request is not
        expected to begin in time at the best one, or if waiting for the
        silent targets is better.
    """
    desired = forwarder.state.desired
    rules = None if desired is None else desired.services.get(service)
    rules = rules or ServiceRules(name=service)
    version = read_required_version(forwarder, rules.engine)
    newest = _read_newest(forwarder, rules.engine) if tried else 0
    sampled = draw_targets(
        forwarder.state.targets.values(),
        count=SAMPLED_TARGETS,
        rng=forwarder.rng,
        is_usable=lambda target: (
            target.service == service
            and target.name not in tried
            and _is_usable(forwarder, work, target, rules)
            and forwarder.find_load(target).read_version(target)
            >= (version or 0)
        ),
        is_avoided=functools.partial(_is_avoided, forwarder),
    )
    candidates = list(_describe(forwarder, sampled, newest))
    chosen = choose_candidate(candidates, forwarder.rng)
    if chosen is None:
        if silence is not None:
            return Refusal(reason=Reason.NO_TARGET)
        return refuse_all(forwarder, service, version)
    place = TargetOccupancy(
        load=chosen.load,
        unanswered=chosen.unanswered,
        slots=chosen.target.slots,
        latency=forwarder.find_load(chosen.target).latency,
        engine=rules.engine,
    )
    if silence is not None:
        worth_asking = is_worth_asking(
            place,
            prompt_tokens=work.call.prompt_tokens,
            silent=chosen.silent,
            silence=silence,
        )
        return (
            chosen.target if worth_asking else Refusal(reason=Reason.OVERLOADED)
        )
    # A moved request is not refused: its caller may have part of the answer.
    demand = read_demand(forwarder, work)
    if not tried and not may_send(
        forwarder.scheduling, work, chosen.target, place, demand
    ):
        return refuse_crowd(forwarder, work, chosen, demand)
    return chosen.target


def read_demand(forwarder: Forwarder, work: PermittedCall) -> Demand:
    """Compute the demand of a request on a target, as of now."""
    call = work.call
    time_left = work.route.objective - (read_clock() - call.arrived_at)
    if (
        call.time_left is not None
        and not forwarder.caller_timeouts.is_first_try(
            work.route.name, call.time_left
        )
    ):
        time_left = 0
    return Demand(prompt_tokens=call.prompt_tokens, time_left=time_left)


def _is_usable(
    forwarder: Forwarder,
    work: PermittedCall,
    target: Target,
    rules: ServiceRules,
) -> bool:
    if target.leaving or target.failure_domain in forwarder.state.withdrawn:
        return False
    homes = [work.route.regions]
    if work.account is not None:
        homes.append(work.account.regions)
    if any(home and target.region not in home for home in homes):
        return False
    if rules.engine is not None and not target.holds(rules.engine.layers):
        return False
    safeguards = forwarder.safeguards
    if safeguards.target_rests.read_seconds_left(target) > 0:
        return False
    if not safeguards.target_limits.has_room(target):
        return False
    return _has_cold_room(forwarder, target, rules)


def _has_cold_room(
    forwarder: Forwarder, target: Target, rules: ServiceRules
) -> bool:
    """Tell whether a cold target can take one more request of this daemon."""
    load = forwarder.find_load(target)
    if not rules.cold_rate or load.cold_until <= read_clock():
        return True
    return load.count_recent(read_clock()) < _share_cold_rate(
        forwarder, target, rules.cold_rate
    )


def _share_cold_rate(
    forwarder: Forwarder, target: Target, rate: float
) -> float:
    """Compute the requests a second that this daemon may send.

    Daemons that have ended stay registered and leave their share unused, so
    that a daemon that hears of no others sends no more than before.
    """
    safeguards = forwarder.safeguards
    daemons = safeguards.retry_budget.daemons
    if rate >= daemons:
        return rate / daemons
    ranked = safeguards.daemon_ranking.rank(target)
    if len(ranked) < daemons:
        # The registered daemons are not known yet, only their assumed number.
        return 1
    return compute_share(
        rate=rate, ranked=ranked, own=safeguards.daemon_ranking.own
    )


def _is_avoided(forwarder: Forwarder, target: Target) -> bool:
    now = read_clock()
    return forwarder.find_load(target).is_avoided(
        now
    ) or forwarder.state.reach.is_avoided(target.failure_domain, now)


def _read_newest(forwarder: Forwarder, engine: EngineProfile | None) -> int:
    """Read the newest version announced for an engine; zero for none."""
    named = engine and forwarder.state.weights.get(engine.model)
    return named[-1].version if named else 0


def _describe(
    forwarder: Forwarder, targets: list[Target], newest: int
) -> Iterator[Candidate]:
    """Describe targets as candidates.

    :param newest: version whose engines will not change weights soon, so
        that a request need not move again; zero to ignore versions.
    """
    now = read_clock()
    for target in targets:
        load = forwarder.find_load(target)
        yield Candidate(
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


def _measure_distance(forwarder: Forwarder, target: Target) -> Distance:
    if target.failure_domain == forwarder.settings.failure_domain:
        return Distance.SAME_DOMAIN
    if target.region == forwarder.settings.region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION
