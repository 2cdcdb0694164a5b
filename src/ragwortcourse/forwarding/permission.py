"""Permission check of a call against the desired state in force.

Load pattern: desired states follow each other while a failure domain hears of
none of them, its line to the store being cut or full. That a route or a key is
unknown is a statement about the newest desired state, so a daemon whose state
may be older than operators allow answers that it can't tell. So does one that
has heard for too long that other daemons have a newer state in force: its own
may send a request to a service, or a region, that is no longer allowed.
"""

from typing import Final

from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.call import Call
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.forwarding.route import Route
from ragwortcourse.settings import FleetSettings

# Margin for the delay of updates from the store and for the transit time to
# the target.
REVOCATION_MARGIN_SECONDS: Final = 1.2
# A daemon that just started usually has its desired state after this time.
NOT_READY_RETRY_SECONDS: Final = 0.5
STALE_RETRY_SECONDS: Final = 1.0
# Share of the time in which a desired state must be in force. Other daemons
# have it in force some tenths of a second after the operators wrote it.
BEHIND_SHARE: Final = 0.7


def permit_call(
    state: FleetState, fleet: FleetSettings, call: Call
) -> tuple[Route, Account | None] | Refusal:
    """Find the route and client account of a call, or refuse the call.

    A route or key is called unknown only while every desired state that must
    be in force by now is known.
    """
    desired = state.desired
    if desired is None:
        return Refusal(
            reason=Reason.NOT_READY, retry_after=NOT_READY_RETRY_SECONDS
        )
    route = desired.find_route(call.host, call.path)
    inputs = {'state_version': desired.version, 'state_age': state.read_age()}
    stale = Refusal(
        reason=Reason.STALE, retry_after=STALE_RETRY_SECONDS, inputs=inputs
    )
    if is_superseded(state, fleet):
        return stale
    is_newest = state.read_age() <= fleet.apply_ms / 1000
    if route is None:
        unknown = Refusal(reason=Reason.NO_ROUTE, inputs=inputs)
        return unknown if is_newest else stale
    if route.public or desired.accounts is None:
        return route, None
    if not is_confirmed(state, fleet):
        return stale
    account = desired.accounts.get(call.key or '')
    if account is None:
        unknown = Refusal(reason=Reason.UNKNOWN_KEY, inputs=inputs)
        return unknown if is_newest else stale
    return route, account


def is_confirmed(state: FleetState, fleet: FleetSettings) -> bool:
    """Tell whether the known keys may still be served.

    With strict revocation, the desired state must have been confirmed
    recently enough to rule out that a key was revoked too long ago.
    """
    if not fleet.strict_revocation:
        return True
    limit = fleet.revoke_ms / 1000 - REVOCATION_MARGIN_SECONDS
    return state.read_age() < limit


def is_superseded(state: FleetState, fleet: FleetSettings) -> bool:
    """Tell whether a newer desired state must be in force by now."""
    bound = fleet.apply_ms / 1000 * BEHIND_SHARE
    return state.read_behind_seconds() > bound
