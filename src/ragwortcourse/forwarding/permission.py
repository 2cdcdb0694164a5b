"""Permission check of a call against the desired state in force."""

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


def permit_call(
    state: FleetState, fleet: FleetSettings, call: Call
) -> tuple[Route, Account | None] | Refusal:
    """Find the route and client account of a call, or refuse the call."""
    desired = state.desired
    if desired is None:
        return Refusal(
            reason=Reason.NOT_READY, retry_after=NOT_READY_RETRY_SECONDS
        )
    route = desired.find_route(call.host, call.path)
    if route is None:
        return Refusal(
            reason=Reason.NO_ROUTE, inputs={'state_version': desired.version}
        )
    if route.public or desired.accounts is None:
        return route, None
    if not is_confirmed(state, fleet):
        return Refusal(
            reason=Reason.STALE,
            retry_after=STALE_RETRY_SECONDS,
            inputs={
                'state_version': desired.version,
                'state_age': state.read_age(),
            },
        )
    account = desired.accounts.get(call.key or '')
    if account is None:
        return Refusal(
            reason=Reason.UNKNOWN_KEY,
            inputs={
                'state_version': desired.version,
                'state_age': state.read_age(),
            },
        )
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
