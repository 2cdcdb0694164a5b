"""The desired state of a soak, and how operators change it."""

import random

from fakes.soak_operation import Operation
from fakes.soak_records import STREAMS, Kind
from fakes.soak_stage import CHUNK_BYTES, CHUNKS
from fakes.soak_target import LAYERS, MODEL, OTHER_MODEL

KEYS = [f'parents-{number}' for number in range(12)]
FEWEST_KEYS = 4
ROUTE_MS = 3000
# With the longest silence, an answer ends before the shortest of them.
TIMEOUTS_MS = (2700, 2850, ROUTE_MS)
SHARES = (0, 0.3, 0.5, 1)
LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 4_194_304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15_000,
}
# Longest time for which a daemon may serve an earlier state.
APPLY_SECONDS = 3.0
ENGINES = 'engines'
SKETCHERS = 'sketchers'
# Operators give the versions of both models the same numbers.
MODELS = {ENGINES: MODEL, SKETCHERS: OTHER_MODEL}
PLAIN = 'plain'
SPARE = 'spare'


class SoakState:
    """Routes, services and keys; each change takes effect when it is built.

    :ivar version: number of the state that was built last.
    :ivar keys: API keys that are not revoked.
    """

    def __init__(self) -> None:
        self.version = 0
        self.keys = list(KEYS)
        self._drops = 0
        self._share = 1.0
        self._timeouts = dict.fromkeys(Kind, ROUTE_MS)
        self._built: list[tuple[float, dict[Kind, int]]] = []

    def change(self, name: str, rng: random.Random) -> None:
        """Apply a change by its name; one without parameters does nothing."""
        if name == Operation.SPLIT:
            self._share = rng.choice(SHARES)
        elif name == Operation.TIMEOUTS:
            self._timeouts = {each: rng.choice(TIMEOUTS_MS) for each in Kind}
        elif name == Operation.GRANT:
            self.keys.append(f'parents-new-{self.version}')

    def revoke_key(self) -> str | None:
        """Take a key away; none if few are left."""
        return self.keys.pop() if len(self.keys) > FEWEST_KEYS else None

    def drop_route(self) -> None:
        """Leave a route away until each drop is taken back."""
        self._drops += 1

    def restore_route(self) -> None:
        """Take one drop of the route back."""
        self._drops -= 1

    def build(self, *, origin: str, at: float) -> dict[str, object]:
        """Build the next version.

        :param origin: address of the origin of weights.
        :param at: time at which the store gets it, in monotonic seconds.
        """
        self.version += 1
        self._built.append((at, self._timeouts))
        routes = [
            self._make_route(Kind.CHARGE, 'non_idempotent'),
            self._make_route(Kind.LOOKUP, 'idempotent'),
            self._make_route(Kind.LETTER, 'streaming'),
        ]
        if not self._drops:
            routes.append(self._make_route(Kind.NOTE, 'streaming'))
        engine = {
            'slots': 16,
            'step_ms': 9,
            'per_seq_ms': 0.04,
            'read_per_s': 19_000,
            'stride': 5,
            'usual': {'prompt': 500, 'answer': 50},
            'layers': LAYERS,
            'chunks': CHUNKS,
            'chunk_bytes': CHUNK_BYTES,
        }
        services: list[dict[str, object]] = [
            {'name': name, 'engine': {**engine, 'models': [{'name': model}]}}
            for name, model in MODELS.items()
        ]
        services.append({'name': 'origin', 'origin': origin, 'zone': 'near-a'})
        services.extend({'name': each} for each in self._list_shares())
        return {
            'version': self.version,
            'routes': routes,
            'services': services,
            'limits': LIMITS,
            'tenants': [{'name': 'parents', 'api_keys': self.keys}],
        }

    def read_limit(self, kind: Kind, sent_at: float) -> float:
        """Read the shortest route timeout that may hold for a request.

        :param sent_at: monotonic seconds.
        :return: seconds.
        """
        older = [at for at, _ in self._built if at < sent_at - APPLY_SECONDS]
        begins_at = max(older, default=0)
        return min(
            timeouts[kind] / 1000
            for at, timeouts in self._built
            if at >= begins_at
        )

    def _list_shares(self) -> dict[str, float]:
        shares = {PLAIN: self._share, SPARE: 1 - self._share}
        return {name: share for name, share in shares.items() if share}

    def _make_route(self, kind: Kind, route_type: str) -> dict[str, object]:
        engines = SKETCHERS if kind is Kind.NOTE else ENGINES
        shares = {engines: 1.0} if kind in STREAMS else self._list_shares()
        return {
            'name': kind.value,
            'host': 'desk.example',
            'prefix': f'/{kind.value}/',
            'route_type': route_type,
            'timeout_ms': self._timeouts[kind],
            'slo_ms': 500,
            'gap_target_ms': 400 if kind in STREAMS else 0,
            'split': [
                {'service': name, 'weight': share}
                for name, share in shares.items()
            ],
            'max_attempts': 1 if kind is Kind.CHARGE else 2,
            'resumable': kind in STREAMS,
        }
