"""Tests of decoding the desired state and the rows of targets."""

import json

import pytest

from fakes.fleet_parts import ENGINE_RULES, REGIONS
from ragwortcourse.forwarding.call_kind import CallKind
from ragwortcourse.ingress.client_limits import NO_LIMITS, ClientLimits
from ragwortcourse.platform.desired_states import decode_desired_state
from ragwortcourse.platform.target_rows import decode_target
from ragwortcourse.unreadable import UnreadableError

ROUTE = {
    'name': 'r',
    'host': 'Desk.Example',
    'prefix': '/a/',
    'route_type': 'streaming',
    'timeout_ms': 6000,
    'slo_ms': 404,
    'service': 'svc',
    'max_attempts': 2,
    'public': False,
    'resumable': True,
    'gap_target_ms': 400,
    'allowed_regions': ['near'],
    'sticky': True,
    'unknown': 1,
}
ENGINE = {
    'slots': 16,
    'step_ms': 8.87,
    'per_seq_ms': 0.04,
    'read_per_s': 19100.0,
    'stride': 5,
    'usual': {'prompt': 977, 'answer': 94},
    'models': [{'name': 'm', 'pace': 1.0}],
    'layers': 16,
    'chunks': 48,
    'chunk_bytes': 49152,
    'kv_capacity': 317_000,
}
TARGET = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'near-a',
    'version': 'v1',
    'slots': 16,
    'state': 'ready',
    'cold_left_ms': 1500,
    'layers': {'from': 0, 'to': 16, 'version': 2},
    'born': 1700,
    'seq': 4,
}


def decode(**changes: object):
    """Decode a desired state with one route, unless changed."""
    state = {'version': 7, 'routes': [ROUTE], 'services': [], **changes}
    return decode_desired_state(json.dumps(state).encode())


class TestDecodeDesiredState:
    """Decoding of the desired state."""

    @pytest.mark.parametrize(
        'limits', [None, 7, {'idle_timeout_ms': 'x'}, {'max_body_bytes': -1}]
    )
    def test_odd_limits(self, limits):
        """Limits that can't be read take no route or service with them.

        Loaders get the state without limits from other daemons. As long as
        these were decoded strictly, no loader had any state.
        """
        state = decode(limits=limits)
        assert state.routes
        assert state.client_limits == NO_LIMITS

    def test_limits(self):
        """Limits that are absent or zero limit nothing."""
        limits = {'idle_timeout_ms': 15_000, 'max_body_bytes': 0}
        expected = ClientLimits(idle_seconds=15)
        assert decode(limits=limits).client_limits == expected

    def test_route(self):
        """Milliseconds become seconds; fields get the project's names."""
        (route,) = decode().routes['desk.example']
        assert route.kind is CallKind.STREAMING
        assert route.time_limit == 6
        assert route.objective == pytest.approx(0.404)
        assert route.longest_gap == pytest.approx(0.4)
        assert route.max_tries == 2
        assert route.may_repeat
        assert route.regions == {'near'}

    def test_split(self):
        """A split route lists each service with its weight."""
        split = [
            {'service': 'x', 'weight': 90},
            {'service': 'y', 'weight': 10},
        ]
        (route,) = decode(routes=[{**ROUTE, 'split': split}]).routes[
            'desk.example'
        ]
        assert [(each.service, each.weight) for each in route.services] == [
            ('x', 90),
            ('y', 10),
        ]

    def test_longest_prefix_first(self):
        """Routes of a host are sorted by prefix length, longest first."""
        longer = {**ROUTE, 'name': 'longer', 'prefix': '/a/b/'}
        routes = decode(routes=[ROUTE, longer]).routes['desk.example']
        assert [route.name for route in routes] == ['longer', 'r']

    def test_services(self):
        """Only a service with an engine has an engine profile."""
        services = [
            {'name': 'svc', 'engine': ENGINE, 'cold_per_s': 36.0},
            {
                'name': 'o',
                'origin': '10.0.0.9:80',
                'zone': 'far-a',
                'link_mbps': 4.0,
            },
        ]
        state = decode(services=services)
        engine = state.find_engine('svc')
        assert engine.model == 'm'
        assert engine.step == pytest.approx(0.00887)
        assert engine.memory_tokens == 317_000
        assert state.services['o'].origin == '10.0.0.9:80'
        assert state.services['o'].origin_rate == 500_000
        assert state.find_engine('o') is None
        assert state.find_engine('unknown') is None

    def test_accounts(self):
        """Each key maps to its account; no accounts means no key needed."""
        tenants = [{'name': 't', 'api_keys': ['k1', 'k2'], 'priority': 1}]
        accounts = decode(tenants=tenants).accounts
        assert accounts['k1'] is not None
        assert accounts['k1'] == accounts['k2']
        assert decode().accounts is None

    @pytest.mark.parametrize('content', [b'', b'{', b'[]', b'{"routes":[]}'])
    def test_unreadable(self, content):
        """Bytes that are not a desired state are unreadable."""
        with pytest.raises(UnreadableError):
            decode_desired_state(content)

    @pytest.mark.parametrize(
        'changes',
        [
            {'timeout_ms': -1},
            {'timeout_ms': 1e308},
            {'slo_ms': -1},
            {'gap_target_ms': 1e308},
            {'priority': -1},
            {'priority': 10**399},
            {'max_attempts': 10**399},
            {'split': [{'service': 'x', 'weight': -1}]},
            {
                'split': [
                    {'service': 'x', 'weight': 2},
                    {'service': 'y', 'weight': -1},
                ]
            },
        ],
    )
    def test_meaningless_number_in_a_route_is_taken(self, changes):
        """The state is unreadable."""
        with pytest.raises(UnreadableError):
            decode(routes=[{**ROUTE, **changes}])

    @pytest.mark.parametrize(
        'changes',
        [
            {'slots': -1},
            {'step_ms': -1},
            {'per_seq_ms': 1e308},
            {'read_per_s': -1},
            {'stride': -1},
            {'usual': {'prompt': -1}},
            {'usual': {'answer': 1e308}},
            {'layers': -1},
            {'chunks': 10**399},
            {'chunk_bytes': -1},
        ],
    )
    def test_meaningless_number_of_an_engine_is_taken(self, changes):
        """The state is unreadable."""
        services = [{'name': 'svc', 'engine': {**ENGINE, **changes}}]
        with pytest.raises(UnreadableError):
            decode(services=services)

    @pytest.mark.parametrize(
        'changes',
        [
            {'cold_per_s': -1},
            {'cold_per_s': 1e308},
            {'origin': 'x..y:80'},
            {'origin': '127.0.0.1:99999'},
        ],
    )
    def test_meaningless_service_is_taken(self, changes):
        """The state is unreadable."""
        with pytest.raises(UnreadableError):
            decode(services=[{'name': 'svc', **changes}])

    def test_unsendable_account_fails_calls(self):
        """A state is unreadable if no header can carry a client's name.

        Each call with the key was answered 500.
        """
        with pytest.raises(UnreadableError):
            decode(tenants=[{'name': 'a\nb', 'api_keys': ['k']}])

    @pytest.mark.parametrize('version', [-1, 10**399])
    def test_meaningless_version_is_taken(self, version):
        """The state is unreadable."""
        with pytest.raises(UnreadableError):
            decode(version=version)

    def test_split_without_weight_withholds_a_state(self):
        """Operators may take all traffic off a route; the state is in force.

        Its requests are refused.
        """
        split = [{'service': 'x', 'weight': 0}]
        state = decode(routes=[{**ROUTE, 'split': split}])
        (routes,) = state.routes.values()
        assert [share.weight for share in routes[0].services] == [0]

    def test_sound_numbers(self):
        """Zeroes and high numbers that operators may write are taken."""
        split = [
            {'service': 'x', 'weight': 0},
            {'service': 'y', 'weight': 1e9},
        ]
        state = decode(
            version=2**53,
            routes=[
                {
                    **ROUTE,
                    'split': split,
                    'timeout_ms': 86_400_000,
                    'max_attempts': 2**31,
                    'priority': 99,
                }
            ],
            services=[
                {
                    'name': 'svc',
                    'max_conns': -1,
                    'engine': {**ENGINE, 'slots': 0, 'chunk_bytes': 2**40},
                }
            ],
        )
        assert state.version == 2**53
        assert state.find_engine('svc').chunk_bytes == 2**40

    def test_unknown_type_of_route(self):
        """A state with an unknown type of route is unreadable."""
        with pytest.raises(UnreadableError):
            decode(routes=[{**ROUTE, 'route_type': 'odd'}])


def decode_row(**changes: object):
    """Decode a target row with some changed fields."""
    row = {**TARGET, **changes}
    return decode_target('i-1', json.dumps(row).encode(), REGIONS)


class TestDecodeTarget:
    """Decoding of the rows of targets."""

    def test_fields(self):
        """A row is decoded to a target with the region of its domain."""
        target = decode_row()
        assert target.name == 'i-1'
        assert target.born == 1700
        assert target.region == 'near'
        assert target.cold_seconds == pytest.approx(1.5)
        assert target.holds(ENGINE_RULES)
        assert target.weights.version == 2

    def test_leaving(self):
        """A target in the state ``draining`` is leaving."""
        assert decode_row(state='draining').leaving

    @pytest.mark.parametrize(
        'layers', [None, {'from': 0, 'to': 0, 'version': 0}, {}]
    )
    def test_empty_engine(self, layers):
        """A target whose engine has no layers holds no weights."""
        target = decode_row(layers=layers)
        assert target.weights is None
        assert not target.holds(ENGINE_RULES)

    def test_part_of_the_layers(self):
        """An engine with a part of the layers does not hold the model."""
        layers = {'from': 0, 'to': 8, 'version': 2}
        assert not decode_row(layers=layers).holds(ENGINE_RULES)

    @pytest.mark.parametrize(
        'changes',
        [
            {'state': 'resting'},
            {'zone': 'nowhere'},
            {'slots': 'many'},
            {'address': None},
        ],
    )
    def test_foreign_rows(self, changes):
        """A row with an unknown state or domain or a wrong type is an error."""
        with pytest.raises(UnreadableError):
            decode_row(**changes)
