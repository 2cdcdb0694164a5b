"""Desired states with many routes, as the users' largest fleets have."""

import json
import random


def make_many_routes(count: int, *, version: int = 1) -> bytes:
    """Build a desired state of distinct routes of typical length."""
    rng = random.Random(count)
    routes = [
        {
            'name': f'r-{rng.getrandbits(36):x}',
            'host': f'{rng.getrandbits(24):x}.example',
            'prefix': f'/{rng.getrandbits(32):x}/{rng.getrandbits(16):x}/',
            'route_type': 'streaming',
            'timeout_ms': 6000,
            'slo_ms': 404,
            'priority': 1,
            'service': 'plain',
            'max_attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'gap_target_ms': 400,
            'allowed_regions': [],
        }
        for _ in range(count)
    ]
    state = {
        'version': version,
        'routes': routes,
        'services': [],
        'tenants': [],
    }
    return json.dumps(state).encode()
