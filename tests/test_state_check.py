"""Tests of :mod:`ragwortcourse.platform.state_check`."""

import copy

import pytest

from ragwortcourse.platform.state_check import check_state, parse_state
from ragwortcourse.platform.state_difference import list_differences
from ragwortcourse.unreadable import UnreadableError
from tests.test_desired_states import ENGINE, ROUTE

DOMAINS = {'near-a': 'near', 'far-a': 'far'}
SOUND = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {'name': 'svc', 'engine': ENGINE},
        {'name': 'plain'},
        {'name': 'o', 'origin': '10.0.0.9:80', 'zone': 'far-a'},
    ],
    'tenants': [{'name': 't', 'api_keys': ['k1'], 'allowed_regions': []}],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'other': {'unread': True},
}
PLAIN = {'route_type': 'idempotent', 'service': 'plain'}
# Changed entry, and the places of the findings.
FINDINGS = [
    ('routes', {'timeout_ms': -1}, ['routes[0].timeout_ms']),
    ('routes', {'route_type': 'odd'}, ['routes[0].route_type']),
    (
        'routes',
        {'host': 1, 'slo_ms': 'x'},
        ['routes[0].host', 'routes[0].slo_ms'],
    ),
    (
        'routes',
        {'split': [{'weight': -1}]},
        ['routes[0].split[0].service', 'routes[0].split[0].weight'],
    ),
    ('routes', {'host': 'desk:80'}, ['routes[0].host']),
    ('routes', {'prefix': 'a/'}, ['routes[0].prefix']),
    ('routes', {'timeout_ms': 0}, ['routes[0].timeout_ms']),
    ('routes', {'slo_ms': 6001}, ['routes[0].slo_ms']),
    ('routes', {'gap_target_ms': 6001}, ['routes[0].gap_target_ms']),
    ('routes', {'service': 'none'}, ['routes[0].service']),
    ('routes', {'service': ''}, ['routes[0].service']),
    ('routes', {'service': 'o'}, ['routes[0].service']),
    ('routes', {'service': 'plain'}, ['routes[0].service']),
    (
        'routes',
        {'split': [{'service': 'svc', 'weight': 0}]},
        ['routes[0].split'],
    ),
    (
        'routes',
        {'split': [{'service': 'x', 'weight': 1}]},
        ['routes[0].split[0].service'],
    ),
    ('routes', {'allowed_regions': ['moon']}, ['routes[0].allowed_regions[0]']),
    ('tenants', {'allowed_regions': ['far']}, ['routes[0].allowed_regions']),
    (
        'tenants',
        {'allowed_regions': ['near', 'x']},
        ['tenants[0].allowed_regions[1]'],
    ),
    ('tenants', {'api_keys': []}, ['tenants[0].api_keys']),
    ('tenants', {'api_keys': ['k', 'k']}, ['tenants[0].api_keys[1]']),
    ('tenants', {'name': 'a\nb'}, ['(file)']),
    (
        'services',
        {'engine': {**ENGINE, 'slots': 0}},
        ['services[0].engine.slots'],
    ),
    (
        'services',
        {'engine': {**ENGINE, 'models': []}},
        ['routes[0].service', 'services[0].engine.models'],
    ),
    (
        'services',
        {'engine': {**ENGINE, 'usual': {'prompt': -1}}},
        ['services[0].engine.usual.prompt'],
    ),
    ('limits', {'max_body_bytes': 0}, ['limits.max_body_bytes']),
    ('limits', {'idle_timeout_ms': 2999}, ['limits.idle_timeout_ms']),
    ('limits', {'header_timeout_ms': 'x'}, ['limits.header_timeout_ms']),
]


def change(section: str, changes: dict[str, object]) -> dict[str, object]:
    """Build a state with a changed first entry of a section."""
    state = copy.deepcopy(SOUND)
    part = state[section]
    (part if isinstance(part, dict) else part[0]).update(changes)
    return state


def list_places(state: dict[str, object]) -> list[str]:
    """List the places of the findings in a state."""
    return [each.place for each in check_state(state, DOMAINS)]


class TestCheckState:
    """Findings in desired states."""

    @pytest.mark.parametrize('domains', [None, DOMAINS])
    def test_sound(self, domains):
        """A regular state, with fields that nobody reads, has no finding."""
        assert check_state(SOUND, domains) == ()
        assert check_state(change('routes', PLAIN), domains) == ()

    @pytest.mark.parametrize(('section', 'changes', 'places'), FINDINGS)
    def test_fault_is_not_found(self, section, changes, places):
        """A state with this fault was taken, or was unreadable as a whole."""
        assert list_places(change(section, changes)) == places

    def test_shadowed_route(self):
        """A route with the host and prefix of another never gets a request."""
        state = copy.deepcopy(SOUND)
        state['routes'].append({**ROUTE, 'name': 's', 'host': 'DESK.example'})
        state['routes'].append({**ROUTE, 'name': 'l', 'prefix': '/a/b/'})
        assert list_places(state) == ['routes[1].prefix']

    @pytest.mark.parametrize('section', ['routes', 'services', 'tenants'])
    def test_name_given_twice(self, section):
        """Of two entries with one name only one counts, or can be told."""
        state = copy.deepcopy(SOUND)
        state[section].append(copy.deepcopy(state[section][0]))
        assert f'{section}[{len(state[section]) - 1}].name' in list_places(
            state
        )

    def test_no_key_at_all(self):
        """Without accounts, but with a list of them, no key is known."""
        assert list_places({**SOUND, 'tenants': []}) == ['routes[0].public']
        assert list_places({**SOUND, 'tenants': None}) == []

    def test_origin(self):
        """An origin without a usable address or domain is found."""
        state = copy.deepcopy(SOUND)
        state['services'][2].update(origin='x..y:80', zone='moon')
        assert list_places(state) == ['services[2].origin', 'services[2].zone']

    def test_keys_are_shown(self):
        """SECRET: a finding showed an account's key."""
        state = change('tenants', {'api_keys': ['secret', 'secret']})
        (finding,) = check_state(state, DOMAINS)
        assert 'secret' not in repr(finding)

    @pytest.mark.parametrize(
        'content', [b'', b'[]', b'{', b'\xff', b'[' * 100_000]
    )
    def test_unreadable(self, content):
        """What is no JSON object is one error, not a crash."""
        with pytest.raises(UnreadableError):
            parse_state(content)


class TestListDifferences:
    """Differences between states."""

    def test_none(self):
        """Equal states do not differ."""
        assert list_differences(SOUND, copy.deepcopy(SOUND)) == ()

    def test_by_name(self):
        """An entry is compared with that of its name, wherever it stands."""
        wanted = change('routes', {'slo_ms': 500})
        wanted['routes'].insert(0, {**ROUTE, 'name': 'new'})
        wanted['services'].pop()
        found = {
            each.place: (each.before[:8], each.after[:8])
            for each in list_differences(SOUND, wanted)
        }
        assert found == {
            'routes.r.slo_ms': ('404', '500'),
            'routes.new': ('(absent)', "{'name':"),
            'services.o': ("{'name':", '(absent)'),
        }

    def test_keys_are_shown(self):
        """SECRET: a difference showed an account's key."""
        wanted = change('tenants', {'api_keys': ['k1', 'secret']})
        (found,) = list_differences(SOUND, wanted)
        assert found.place == 'tenants.t.api_keys'
        assert 'secret' not in repr(found)
        assert 'k1' not in repr(found)
