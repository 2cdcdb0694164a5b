"""Refusals of requests for which there is no target."""

from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import Demand, choose_retry_after
from ragwortcourse.forwarding.call import PermittedCall
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.placement import Candidate
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import ServiceName

# After this time a target may be back or a new one may be listed.
NO_TARGET_RETRY_SECONDS: Final = 0.5
# Callers return this long after the end of a rest, spread by as much again.
RESTED_RETRY_SECONDS: Final = 0.1


def is_limited(forwarder: Forwarder, target: Target) -> bool:
    """Tell whether a target names a limit on its requests."""
    return forwarder.safeguards.target_limits.find_rate(target) is not None


def is_resting(forwarder: Forwarder, target: Target) -> bool:
    """Tell whether a target wants nothing from this daemon for now."""
    return forwarder.safeguards.target_rests.read_seconds_left(target) > 0


def choose_return(
    forwarder: Forwarder, service: ServiceName, wait: float
) -> float:
    """Choose when a caller returns whom no target of a service served.

    :param wait: seconds after which a target may serve it. Where all targets
        rest, the caller returns after the first end of these rests.
    """
    rests = forwarder.safeguards.target_rests
    first_end = min(
        (
            rests.read_seconds_left(target)
            for target in forwarder.state.targets.values()
            if target.service == service and not target.leaving
        ),
        default=0,
    )
    if first_end > 0:
        wait = RESTED_RETRY_SECONDS
    scheduler = forwarder.safeguards.retry_scheduler
    return first_end + scheduler.book(wait, forwarder.rng)


def refuse_all(
    forwarder: Forwarder,
    work: PermittedCall,
    service: ServiceName,
    version: int | None,
) -> Refusal:
    """Refuse a request for which no target is usable.

    Weights that are still on their way take seconds, and callers come back
    once, so that they are told to come back as late as they do.

    :param version: lowest version of weights that the request may begin on;
        none for any.
    """
    wait = choose_return(forwarder, service, NO_TARGET_RETRY_SECONDS)
    if version is not None:
        wait = max(wait, _choose_late_return(forwarder, work))
    listed = [
        target
        for target in forwarder.state.targets.values()
        if target.service == service
    ]
    return Refusal(
        reason=Reason.NO_TARGET,
        retry_after=wait,
        inputs={
            'service': service,
            'listed': len(listed),
            'leaving': sum(target.leaving for target in listed),
            'resting': sum(is_resting(forwarder, each) for each in listed),
            'limited': sum(is_limited(forwarder, each) for each in listed),
            'withdrawn': sorted(forwarder.state.withdrawn),
            'version_required': version,
        },
    )


def refuse_crowd(
    forwarder: Forwarder, work: PermittedCall, best: Candidate, demand: Demand
) -> Refusal:
    """Refuse a request that is not expected to begin in time.

    :param best: the best target for it.
    """
    return Refusal(
        reason=Reason.OVERLOADED,
        retry_after=_choose_late_return(forwarder, work),
        inputs={
            'best': best.target.name,
            'load': best.load,
            'starting': best.unanswered,
            'slots': best.target.slots,
            'objective_left': demand.time_left,
        },
    )


def _choose_late_return(forwarder: Forwarder, work: PermittedCall) -> float:
    """Choose a return in the last part of the time that callers wait for."""
    wait = choose_retry_after(
        time_left=work.deadline - read_clock(), chance=forwarder.rng.random()
    )
    return max(wait, 0)
