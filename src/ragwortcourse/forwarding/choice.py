"""Choice of the target of one try, or of the refusal."""

from collections.abc import Collection
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import Demand
from ragwortcourse.forwarding.balancing.description import Found
from ragwortcourse.forwarding.balancing.drawing import (
    Draw,
    make_draw,
    read_home_share,
)
from ragwortcourse.forwarding.balancing.memory import (
    estimate_tokens,
    has_memory,
)
from ragwortcourse.forwarding.balancing.scope import Scope
from ragwortcourse.forwarding.balancing.search import Search
from ragwortcourse.forwarding.balancing.start_cost import (
    Transfer,
    compute_cost,
)
from ragwortcourse.forwarding.call import Call, PermittedCall
from ragwortcourse.forwarding.choice_refusals import (
    refuse_all,
    refuse_crowd,
)
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.placement import (
    SAMPLED_TARGETS,
    choose_candidate,
)
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
    draw = make_draw(
        forwarder,
        service,
        rules.engine,
        newest=_read_newest(forwarder, rules.engine) if tried else 0,
        is_usable=lambda target: (
            target.name not in tried
            and _is_usable(forwarder, work, target, rules)
            and forwarder.find_load(target).read_version(target)
            >= (version or 0)
        ),
    )
    best = find_best(forwarder, work, service, draw)
    if best is None:
        if silence is not None:
            return Refusal(reason=Reason.NO_TARGET)
        return refuse_all(forwarder, work, service, version)
    chosen, place = best.candidate, best.place
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


def find_best(
    forwarder: Forwarder,
    work: PermittedCall,
    service: ServiceName,
    draw: Draw,
) -> Found | None:
    """Find the best of the usable targets; none if there is none.

    Targets are compared by the expected seconds to the first event where
    targets of the service report their pace, and by their load elsewhere.
    """
    if forwarder.balancing.paces.reports_pace(service, read_clock()):
        return _find_soonest(
            forwarder, work, draw, read_home_share(forwarder, service)
        )
    sampled = {
        found.candidate.target.name: found
        for found in draw(SAMPLED_TARGETS, Scope.ALL)
    }
    chosen = choose_candidate(
        [found.candidate for found in sampled.values()], forwarder.rng
    )
    return None if chosen is None else sampled[chosen.target.name]


def _find_soonest(
    forwarder: Forwarder, work: PermittedCall, draw: Draw, home_share: float
) -> Found | None:
    demand = read_demand(forwarder, work)
    transfer = Transfer(
        request_bytes=len(work.body),
        answer_tokens=work.call.answer_tokens,
        longest_gap=work.route.longest_gap,
    )
    return Search(
        draw=draw,
        has_room=lambda found: may_send(
            forwarder.scheduling,
            work,
            found.candidate.target,
            found.place,
            demand,
        ),
        compute_cost=lambda found: compute_cost(found, demand, transfer),
        home_share=home_share,
        rng=forwarder.rng,
    ).find_soonest()


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


def read_tokens(
    forwarder: Forwarder, call: Call, service: ServiceName
) -> float:
    """Read the tokens that a request is expected to need at a target.

    :return: zero for plain services.
    """
    desired = forwarder.state.desired
    rules = None if desired is None else desired.services.get(service)
    if rules is None or rules.engine is None:
        return 0
    return estimate_tokens(call, rules.engine)


def _is_usable(
    forwarder: Forwarder,
    work: PermittedCall,
    target: Target,
    rules: ServiceRules,
) -> bool:
    if target.leaving or target.failure_domain in forwarder.state.withdrawn:
        return False
    if any(home and target.region not in home for home in work.list_homes()):
        return False
    if rules.engine is not None and not target.holds(rules.engine):
        return False
    if not _has_memory(forwarder, target, rules, work.call):
        return False
    safeguards = forwarder.safeguards
    if safeguards.target_rests.read_seconds_left(target) > 0:
        return False
    if not safeguards.target_limits.has_room(target):
        return False
    return _has_cold_room(forwarder, target, rules)


def _has_memory(
    forwarder: Forwarder, target: Target, rules: ServiceRules, call: Call
) -> bool:
    now = read_clock()
    return has_memory(
        forwarder.find_load(target),
        rules.engine,
        call,
        excess=forwarder.balancing.peer_tokens.count_running(target.name, now),
        now=now,
    )


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


def _read_newest(forwarder: Forwarder, engine: EngineProfile | None) -> int:
    """Read the newest version announced for an engine; zero for none."""
    named = engine and forwarder.state.weights.get(engine.model)
    return named[-1].version if named else 0
