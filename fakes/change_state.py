"""Rows of a store that operators and targets change in a round."""

import copy
import random
from collections.abc import Callable, Mapping
from typing import Any, NewType

from fakes.fleet_parts import ENGINE_RULES, MODEL, REGIONS
from fakes.fleet_store import FleetStore
from ragwortcourse.clock import read_clock

RouteName = NewType('RouteName', str)

KEY = 'a-key'
PUBLIC_PREFIX = 'open-'
ENGINES, WRITERS, PLAIN, SPARE = 'engines', 'writers', 'plain', 'spare'
STREAMING = 'streaming'
# Callers stay for eight such gaps, longer than any target is silent.
GAP_MS = 3000
KINDS: Mapping[str, Mapping[str, object]] = {
    'lookups': {'route_type': 'idempotent', 'max_attempts': 2},
    'charges': {'route_type': 'non_idempotent'},
    'letters': {
        'route_type': STREAMING,
        'max_attempts': 2,
        'resumable': True,
        'gap_target_ms': GAP_MS,
    },
    'notes': {'route_type': STREAMING, 'gap_target_ms': GAP_MS},
}
TARGETS = {
    'e-0': ENGINES,
    'e-1': ENGINES,
    'e-2': ENGINES,
    'w-0': WRITERS,
    'w-1': WRITERS,
    'p-0': PLAIN,
    'p-1': PLAIN,
    's-0': SPARE,
}
TIMEOUT_MS = {'lookups': 3000, 'charges': 3000, 'letters': 6000, 'notes': 6000}
ENGINE = {
    'slots': ENGINE_RULES.slots,
    'step_ms': ENGINE_RULES.step * 1000,
    'per_seq_ms': ENGINE_RULES.step_per_request * 1000,
    'read_per_s': ENGINE_RULES.prefill_rate,
    'stride': ENGINE_RULES.steps_per_pass,
    'usual': {
        'prompt': ENGINE_RULES.mean_prompt_tokens,
        'answer': ENGINE_RULES.mean_answer_tokens,
    },
    'models': [{'name': MODEL}],
    'layers': ENGINE_RULES.layers,
    'chunks': ENGINE_RULES.chunks,
    'chunk_bytes': ENGINE_RULES.chunk_bytes,
}
ROUTES = tuple(
    RouteName(f'{prefix}{kind}')
    for prefix in ('', PUBLIC_PREFIX)
    for kind in KINDS
)


class ChangingState:
    """The rows, and changes of them.

    :ivar changes: times of the changes, in order, with their names.
    :ivar refusable: routes that some desired state did not have, or whose key
        it did not have.
    """

    def __init__(self, *, store: FleetStore, rng: random.Random) -> None:
        self.changes: list[tuple[float, str]] = []
        self.refusable: set[RouteName] = set()
        self._store = store
        self._rng = rng
        self._wire: dict[str, Any] = {
            'version': 0,
            'routes': [_make_route(name) for name in ROUTES],
            'services': [
                {'name': ENGINES, 'engine': ENGINE, 'cold_per_s': 36},
                {'name': WRITERS},
                {'name': PLAIN},
                {'name': SPARE},
            ],
            'tenants': [{'name': 'parents', 'api_keys': [KEY], 'priority': 1}],
        }
        self._targets: dict[str, dict[str, Any]] = {}

    def write(self) -> None:
        """Write the desired state as a new version."""
        self._wire = {**self._wire, 'version': self._wire['version'] + 1}
        self._store.put('op', 'config', copy.deepcopy(self._wire))

    def set_timeouts(self, seconds: float) -> None:
        """Give all routes one time limit."""
        for route in self._wire['routes']:
            route['timeout_ms'] = seconds * 1000

    def list_target(self, name: str, address: str) -> None:
        """Write the row of a new target."""
        service = TARGETS[name]
        self._targets[name] = {
            'service': service,
            'address': address,
            'zone': sorted(REGIONS)[int(name[-1])],
            'slots': 16,
            'state': 'ready',
            'cold_left_ms': 0,
            'born': 1,
            'layers': {'from': 0, 'to': 16, 'version': 1},
        }
        if service != ENGINES:
            self._targets[name].pop('layers')
        self._store.put('servers', name, self._targets[name])

    def list_changes(self) -> Mapping[str, Callable[[], None]]:
        """List the changes of rows by their names."""
        return {
            'route removed': self._remove_route,
            'all routes removed': self._remove_all_routes,
            'route moved': self._move_route,
            'weights': self._change_weights,
            'no weights': self._zero_weights,
            'timeouts shorter': self._shorten_timeouts,
            'key removed': self._remove_key,
            'account removed': self._remove_account,
            'priorities': self._change_priorities,
            'one try': self._allow_one_try,
            'kinds': self._change_kinds,
            'service gone': self._remove_service,
            'engine profile gone': self._remove_profile,
            'domain withdrawn': self._withdraw_domain,
            'target leaving': self._let_target_leave,
            'target gone': self._drop_target,
            'service without targets': self._drop_targets,
            'target born again': self._let_target_return,
            'target switched': self.switch_target,
            'target cold': self._cool_target,
            'regions': self._set_regions,
            'no accounts': self._drop_accounts,
            'longer prefix': self._add_longer_prefix,
            'odd engine': self._write_odd_engine,
            'odd routes': self._write_odd_routes,
        }

    def note(self, name: str) -> None:
        """Note that a change is made now."""
        self.changes.append((read_clock(), name))

    def name_version(self) -> None:
        """Name a newer version of the weights."""
        self._store.put(
            'op', f'version/{MODEL}', {'model': MODEL, 'version': 2}
        )

    def switch_target(self) -> None:
        """Let an engine hold the newer version."""
        name = self._rng.choice(self._list_targets(ENGINES))
        layers = {'from': 0, 'to': 16, 'version': 2}
        self._put_target(name, layers=layers)

    def _list_targets(self, service: str) -> list[str]:
        return [name for name, each in TARGETS.items() if each == service]

    def _draw_routes(self) -> list[dict[str, Any]]:
        routes = self._wire['routes']
        if not routes:
            return []
        drawn: list[dict[str, Any]] = self._rng.sample(
            routes, self._rng.randint(1, len(routes))
        )
        return drawn

    def _replace_routes(
        self, change: Callable[[dict[str, Any]], Mapping[str, object]]
    ) -> None:
        drawn = [route['name'] for route in self._draw_routes()]
        self._wire['routes'] = [
            {**route, **change(route)} if route['name'] in drawn else route
            for route in self._wire['routes']
        ]
        self.write()

    def _remove_route(self) -> None:
        drawn = [route['name'] for route in self._draw_routes()]
        self.refusable.update(drawn)
        self._wire['routes'] = [
            route
            for route in self._wire['routes']
            if route['name'] not in drawn
        ]
        self.write()

    def _remove_all_routes(self) -> None:
        self.refusable.update(ROUTES)
        self._wire['routes'] = []
        self.write()

    def _move_route(self) -> None:
        moves = {ENGINES: WRITERS, WRITERS: ENGINES, PLAIN: SPARE, SPARE: PLAIN}

        def change(route: dict[str, Any]) -> Mapping[str, object]:
            first = self._rng.choice(route['split'])['service']
            return {'split': [{'service': moves[first], 'weight': 1}]}

        self._replace_routes(change)

    def _change_weights(self) -> None:
        def change(route: dict[str, Any]) -> Mapping[str, object]:
            weights = self._rng.choice(((0, 1), (1, 0), (1, 5), (0.1, 0.9)))
            return {
                'split': [
                    {'service': share['service'], 'weight': weight}
                    for share, weight in zip(
                        route['split'], weights, strict=False
                    )
                ]
            }

        self._replace_routes(change)

    def _zero_weights(self) -> None:
        self._replace_routes(
            lambda route: {
                'split': [{**share, 'weight': 0} for share in route['split']]
            }
        )

    def _shorten_timeouts(self) -> None:
        self._replace_routes(
            lambda route: {
                'timeout_ms': route['timeout_ms'] * self._rng.uniform(0.1, 0.5)
            }
        )

    def _remove_key(self) -> None:
        self.refusable.update(ROUTES)
        self._wire['tenants'] = [{'name': 'parents', 'api_keys': []}]
        self.write()

    def _remove_account(self) -> None:
        self.refusable.update(ROUTES)
        self._wire['tenants'] = [{'name': 'others', 'api_keys': ['b-key']}]
        self.write()

    def _change_priorities(self) -> None:
        self._change_accounts(priority=self._rng.randint(0, 9))
        self._replace_routes(
            lambda route: {'priority': self._rng.randint(0, 9)}
        )

    def _change_accounts(self, **changes: object) -> None:
        accounts = self._wire['tenants']
        self._wire['tenants'] = accounts and [
            {**account, **changes} for account in accounts
        ]

    def _allow_one_try(self) -> None:
        self._replace_routes(lambda route: {'max_attempts': 1})

    def _change_kinds(self) -> None:
        def change(route: dict[str, Any]) -> Mapping[str, object]:
            if route['route_type'] == STREAMING:
                return {'resumable': False}
            return {'route_type': 'non_idempotent'}

        self._replace_routes(change)

    def _remove_service(self) -> None:
        gone = self._rng.choice((ENGINES, WRITERS, PLAIN, SPARE))
        self._wire['services'] = [
            each for each in self._wire['services'] if each['name'] != gone
        ]
        self.write()

    def _remove_profile(self) -> None:
        self._wire['services'] = [
            {'name': each['name']} for each in self._wire['services']
        ]
        self.write()

    def _withdraw_domain(self) -> None:
        domain = self._rng.choice(sorted(REGIONS))
        self._store.put('op', f'evacuate/{domain}', {})

    def _let_target_leave(self) -> None:
        self._put_target(self._draw_target(), state='draining')

    def _drop_target(self) -> None:
        self._store.drop('servers', self._draw_target())

    def _drop_targets(self) -> None:
        service = TARGETS[self._draw_target()]
        for name in self._list_targets(service):
            self._store.drop('servers', name)

    def _cool_target(self) -> None:
        self._put_target(self._draw_target(), cold_left_ms=2000)

    def _set_regions(self) -> None:
        regions = [self._rng.choice(sorted(set(REGIONS.values())))]
        self._change_accounts(allowed_regions=regions)
        self._replace_routes(lambda route: {'allowed_regions': regions})

    def _drop_accounts(self) -> None:
        self._wire['tenants'] = None
        self.write()

    def _add_longer_prefix(self) -> None:
        drawn = self._draw_routes()
        self._wire['routes'] += [
            {**route, 'prefix': f'{route["prefix"]}1/', 'name': f'{number}'}
            for number, route in enumerate(drawn)
        ]
        self._wire['routes'] += [
            {**route, 'prefix': '/', 'name': f'all {number}'}
            for number, route in enumerate(drawn[:1])
        ]
        self.write()

    def _write_odd_engine(self) -> None:
        odd = dict.fromkeys(
            (
                'slots',
                'step_ms',
                'per_seq_ms',
                'read_per_s',
                'stride',
                'layers',
            ),
            0,
        )
        self._wire['services'] = [
            {**each, 'engine': {**ENGINE, **odd}, 'cold_per_s': 0.1}
            for each in self._wire['services']
        ]
        self.write()

    def _write_odd_routes(self) -> None:
        self._replace_routes(
            lambda route: {
                'slo_ms': 0,
                'max_attempts': self._rng.choice((-1, 0, 99)),
                'priority': self._rng.choice((-3, 10**9)),
                'gap_target_ms': 0,
            }
        )

    def _let_target_return(self) -> None:
        name = self._draw_target()
        self._put_target(name, born=self._targets[name]['born'] + 1)

    def _draw_target(self) -> str:
        return self._rng.choice(sorted(TARGETS))

    def _put_target(self, name: str, **changes: object) -> None:
        self._targets[name] = {**self._targets[name], **changes}
        self._store.put('servers', name, self._targets[name])


def _make_route(name: RouteName) -> dict[str, Any]:
    kind = name.removeprefix(PUBLIC_PREFIX)
    services = (
        (ENGINES, WRITERS)
        if KINDS[kind]['route_type'] == STREAMING
        else (PLAIN, SPARE)
    )
    return {
        'name': name,
        'host': 'desk.example',
        'prefix': f'/{name}/',
        'timeout_ms': TIMEOUT_MS[kind],
        'slo_ms': 500,
        'public': name.startswith(PUBLIC_PREFIX),
        'split': [{'service': each, 'weight': 1} for each in services],
        **KINDS[kind],
    }
