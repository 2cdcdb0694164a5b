"""Whether a call may be served at all, by the desired state in force."""

from typing import Final

from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.call import Call
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.forwarding.route import Route
from ragwortcourse.settings import FleetSettings

# Margin for what the store may not have told for a while, and for the way
# to the target.
REVOCATION_MARGIN_SECONDS: Final = 1.2
# After it a daemon that just started mostly has its desired state.
NOT_READY_RETRY_SECONDS: Final = 0.5
STALE_RETRY_SECONDS: Final = 1.0


def permit_call(
    state: FleetState, fleet: FleetSettings, call: Call
) -> tuple[Route, Account | None] | Refusal:
    """Route and client account of a call, or why it is refused."""
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
    """Tell whether keys known here may still be served."""
    if not fleet.strict_revocation:
        return True
    limit = fleet.revoke_ms / 1000 - REVOCATION_MARGIN_SECONDS
    return state.read_age() < limit
