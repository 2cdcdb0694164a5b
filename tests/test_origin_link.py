"""Tests of :mod:`ragwortcourse.weights.planning.origin_link`."""

import dataclasses

import pytest

from fakes.fleet_parts import ENGINE_RULES, MODEL, make_state
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.weights.planning.origin_link import (
    CALLS_PER_ROOT,
    MOST_ROOTS,
    count_roots,
    measure_patience,
)


def make(**changes):
    """Make the state of a fleet whose origin has some link."""
    state = make_state()
    origin = ServiceRules(name='origin', origin='o:1', **changes)
    services = {**state.desired.services, 'origin': origin}
    state.desired = dataclasses.replace(state.desired, services=services)
    return state


class TestOriginLink:
    """Roots and waits by the origin's rate and limits."""

    def test_unknown_rate(self):
        """Origins without a stated link are used as before."""
        state = make(connections=64)
        assert count_roots(state) == 0
        assert measure_patience(state, MODEL) == 0

    @pytest.mark.parametrize('connections', [0, 2, 8, 64, 5000])
    def test_connections(self, connections):
        """The roots together leave connections of the origin to others."""
        roots = count_roots(make(origin_rate=500, connections=connections))
        assert 1 <= roots <= MOST_ROOTS
        if connections >= 2 * CALLS_PER_ROOT:
            assert roots * CALLS_PER_ROOT <= connections / 2

    def test_patience(self):
        """No daemon is replaced within the time of one copy."""
        copy_seconds = ENGINE_RULES.chunks * ENGINE_RULES.chunk_bytes / 500
        assert measure_patience(make(origin_rate=500), MODEL) > copy_seconds
