"""Tests of :mod:`ragwortcourse.forwarding.permission`."""

import dataclasses

import pytest

from fakes.fleet_parts import ACCOUNT, FLEET, make_call, make_state
from ragwortcourse.forwarding import fleet_state
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.forwarding.permission import permit_call
from ragwortcourse.forwarding.reply import Reason, Refusal


def refuse(reason: Reason, **changes: object) -> Refusal:
    """Get the refusal of a call and check its reason."""
    refusal = permit_call(make_state(), FLEET, make_call(**changes))
    assert isinstance(refusal, Refusal)
    assert refusal.reason is reason
    return refusal


class TestPermitCall:
    """Permission check of calls."""

    def test_served(self):
        """A call with a known key gets its route and account."""
        permitted = permit_call(make_state(), FLEET, make_call())
        assert not isinstance(permitted, Refusal)
        assert permitted[0].name == 'letters'
        assert permitted[1] == ACCOUNT

    def test_host_in_any_case(self):
        """The host is compared case-insensitively."""
        call = make_call(host='Desk.Example')
        assert not isinstance(permit_call(make_state(), FLEET, call), Refusal)

    def test_no_route(self):
        """An unknown path gets status 404."""
        assert refuse(Reason.NO_ROUTE, path='/nothing/1').status == 404

    def test_prefix_ends_with_slash(self):
        """A prefix matches only whole path segments."""
        refuse(Reason.NO_ROUTE, path='/lettersX/1')

    @pytest.mark.parametrize('key', [None, '', 'other'])
    def test_unknown_key(self, key):
        """A call without a known key gets status 401."""
        assert refuse(Reason.UNKNOWN_KEY, key=key).status == 401

    def test_public_route(self):
        """A public route requires no key."""
        call = make_call(path='/open/1', key=None)
        permitted = permit_call(make_state(), FLEET, call)
        assert not isinstance(permitted, Refusal)
        assert permitted[1] is None

    def test_before_the_first_state(self):
        """Without a desired state a call gets 503 instead of 404 or 401."""
        state = make_state()
        state.desired = None
        refusal = permit_call(state, FLEET, make_call(path='/nothing/1'))
        assert isinstance(refusal, Refusal)
        assert refusal.status == 503
        assert refusal.retry_after

    def test_unconfirmed_state(self):
        """Keys are refused once a revocation could have been missed."""
        state = make_state()
        state.confirmed_at -= FLEET.revoke_ms / 1000 - 0.5
        refusal = permit_call(state, FLEET, make_call())
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.STALE
        assert refusal.status == 503
        assert refusal.inputs['state_age'] > 4

    @pytest.mark.parametrize(
        'changes', [{'path': '/nothing/1'}, {'key': 'other'}]
    )
    def test_refused_by_an_older_state(self, changes):
        """A daemon that may lack a desired state calls nothing unknown.

        Incident: daemons of a failure domain whose line to the store was full
        refused a route with 404 that had been there for 5.7 s.
        """
        state = make_state()
        state.confirmed_at -= FLEET.apply_ms / 1000 + 0.1
        refusal = permit_call(state, FLEET, make_call(**changes))
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.STALE
        assert refusal.status == 503
        assert refusal.retry_after

    @pytest.mark.parametrize('path', ['/letters/1', '/open/1'])
    def test_superseded(self, path, monkeypatch):
        """A daemon that heard of a newer state does not act on its own.

        Incident: a request that had home regions was sent to another region,
        4 s after the desired state that named them was acknowledged.
        """
        state = make_state()
        now = read_boot_clock()
        for seconds in (0, 1, 1.5):
            monkeypatch.setattr(
                fleet_state,
                'read_boot_clock',
                lambda: now + seconds,  # noqa: B023
            )
            state.note_peer_version(state.version + 1)
        refusal = permit_call(state, FLEET, make_call(path=path))
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.STALE

    def test_unconfirmed_state_serves_public_routes(self):
        """Public routes are served without regard to revocations."""
        state = make_state()
        state.confirmed_at -= 60
        call = make_call(path='/open/1', key=None)
        assert not isinstance(permit_call(state, FLEET, call), Refusal)

    def test_lax_revocation(self):
        """Without strict revocation, keys of an old state are served."""
        state = make_state()
        state.confirmed_at -= 60
        lax = {
            field: getattr(FLEET, field) for field in FLEET.__struct_fields__
        }
        fleet = type(FLEET)(**{**lax, 'strict_revocation': False})
        assert not isinstance(permit_call(state, fleet, make_call()), Refusal)

    def test_longest_prefix(self):
        """The longest matching prefix selects the route."""
        state = make_state()
        route = state.desired.routes['desk.example'][0]
        longer = dataclasses.replace(
            route, name='longer', prefix='/letters/gift/'
        )
        routes = (longer, *state.desired.routes['desk.example'])
        state.desired = dataclasses.replace(
            state.desired, routes={'desk.example': routes}
        )
        found = state.desired.find_route('desk.example', '/letters/gift/2')
        assert found is longer
