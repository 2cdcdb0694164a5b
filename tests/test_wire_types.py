"""Tests of all types that daemons decode from other processes' bytes."""

import dataclasses
import json
import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fakes.fleet_parts import FLEET, REGIONS, make_forwarder, make_state
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.load_exchange import LoadReceiver, Message
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform import names
from ragwortcourse.platform.crash_rows import CrashRow
from ragwortcourse.platform.engine import WireHeld, WireReport
from ragwortcourse.platform.operator_rows import (
    WireVersion,
    build_operator_handler,
)
from ragwortcourse.platform.restore_hold import VersionedContent
from ragwortcourse.platform.row_relay import RelayedRows
from ragwortcourse.platform.store_row import StoreRow
from ragwortcourse.platform.target_reader import build_target_handler
from ragwortcourse.platform.target_rows import WireTarget
from ragwortcourse.platform.weight_source import WireManifest
from ragwortcourse.platform.wire_rows import WireRow, WireRows
from ragwortcourse.platform.wire_state import WireState
from ragwortcourse.unreadable import UnreadableError
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.order_lease import OrderLeaseRow
from ragwortcourse.weights.rollout_lease import RolloutLeaseRow

TARGET = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'near-a',
    'slots': 16,
    'state': 'ready',
    'cold_left_ms': 0,
    'layers': {'from': 0, 'to': 16, 'version': 2},
    'born': 1700,
}
STATE = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'prefix': '/a/',
            'route_type': 'streaming',
            'timeout_ms': 6000,
            'split': [{'service': 'svc', 'weight': 1}],
            'allowed_regions': ['near'],
        }
    ],
    'services': [
        {
            'name': 'svc',
            'origin': '10.0.0.9:80',
            'engine': {
                'slots': 16,
                'usual': {'prompt': 977, 'answer': 94},
                'models': [{'name': 'm'}],
            },
        }
    ],
    'tenants': [{'name': 't', 'api_keys': ['k'], 'priority': 1}],
}
RUN = ['t-1', 1, 1, 1, 1, 1]
CRASH = ['part:a', [RUN], 1, 1]
VERSION = {'model': 'm', 'version': 2}
RELAY = {
    'daemon': 'e',
    'address': '10.0.0.1:7000',
    'failure_domain': 'near-a',
    'region': 'near',
}
MESSAGES = [
    {
        'type': 'load',
        'daemon': 'e2',
        'counts': {'t-1': [1, 1]},
        'namings': {'versions': {'m': [[2, 1, True]]}, 'complete_for': 1},
        'stable_for': 1,
    },
    {'type': 'switch', 'address': '127.0.0.1:1', 'seconds': 1, 'version': 2},
    {'type': 'limit', 'daemon': 'e2', 'reports': [['t-1', 1, 1, 1]]},
    {'type': 'departure', 'daemon': 'e2', 'reports': [['t-1', 1]]},
    {'type': 'crash', 'daemon': 'e2', 'reports': [CRASH]},
]
SAMPLES = [
    (WireTarget, TARGET),
    (WireState, STATE),
    (WireVersion, VERSION),
    (VersionedContent, VERSION),
    (RelayRecord, RELAY),
    (CrashRow, {'report': CRASH, 'written_at': 1}),
    (WireRow, {'key': 'a', 'value': 'eA=='}),
    (WireRows, {'rows': [{'key': 'a'}], 'row_version': 3, 'now_ms': 1}),
    (
        RelayedRows,
        {'rows': [{'key': 'a'}], 'revision': 1, 'age': 1, 'rows_age': 1},
    ),
    (WireReport, {'running': 1, 'layers': TARGET['layers']}),
    (WireHeld, {'held': [1]}),
    (WireManifest, {'version': 2, 'digests': ['ab']}),
    (FleetManifest, {'model': 'm', 'version': 2, 'digests': ['ab']}),
    (OrderLeaseRow, {'fencing': 1, 'holder': 'a', 'released': True}),
    (RolloutLeaseRow, {'target': 'a', 'token': 'b'}),
    *((Message, message) for message in MESSAGES),
]
DEEP = 'replaced by a deeply nested part'
ODD = st.sampled_from(
    [
        None,
        True,
        -1,
        0,
        10**20,
        10**399,
        -(10**399),
        1e308,
        -1e308,
        0.5,
        '',
        'a\nb',
        'x..y:80',
        '127.0.0.1:99999',
        [],
        {},
        [[]],
        DEEP,
    ]
)


def list_places(tree: object, place: tuple = ()) -> list[tuple]:
    """List the places of all parts of a tree."""
    parts = tree.items() if isinstance(tree, dict) else enumerate(tree)
    return [
        found
        for key, part in parts
        for found in (
            (*place, key),
            *(
                list_places(part, (*place, key))
                if isinstance(part, dict | list)
                else ()
            ),
        )
    ]


@st.composite
def spoil(draw, sample: object) -> bytes:
    """Draw a sample of which one part is replaced or missing, or is added."""
    tree = json.loads(json.dumps(sample))
    *above, last = draw(st.sampled_from(list_places(tree)))
    holder = tree
    for key in above:
        holder = holder[key]
    if draw(st.booleans()):
        holder[last] = draw(ODD)
    elif isinstance(holder, dict) and draw(st.booleans()):
        holder['unknown'] = draw(ODD)
    else:
        holder.pop(last)
    depth = draw(st.sampled_from([1, 900, 100_000]))
    deep = '[' * depth + ']' * depth
    return json.dumps(tree).replace(json.dumps(DEEP), deep).encode()


def list_numbers(message: object) -> list[float]:
    """List all numbers in a message."""
    if isinstance(message, bool | str | bytes | None):
        return []
    if isinstance(message, int | float):
        return [message]
    if isinstance(message, dict):
        parts = list(message.values())
    elif isinstance(message, msgspec.Struct):
        parts = [getattr(message, name) for name in message.__struct_fields__]
    elif dataclasses.is_dataclass(message):
        parts = [
            getattr(message, field.name)
            for field in dataclasses.fields(message)
        ]
    elif isinstance(message, list | tuple):
        parts = message
    else:
        parts = []
    return [number for part in parts for number in list_numbers(part)]


@pytest.mark.parametrize(('kind', 'sample'), SAMPLES)
class TestTypes:
    """Messages with an odd part."""

    def test_sample(self, kind, sample):
        """The samples are messages."""
        decode_json(json.dumps(sample).encode(), kind)

    @given(data=st.data())
    def test_odd_part(self, kind, sample, data):
        """A message with an odd part is unreadable, or its numbers are low."""
        try:
            message = decode_json(data.draw(spoil(sample)), kind)
        except UnreadableError:
            return
        for number in list_numbers(message):
            assert math.isfinite(number)
            assert isinstance(number, float) or abs(number) < 2**63


class TestReaders:
    """Handlers of rows and datagrams, of which one is odd."""

    @given(content=spoil(TARGET))
    def test_targets(self, content):
        """The targets beside an odd one are listed."""
        state = FleetState()
        handler = build_target_handler(TargetList(state=state), REGIONS)
        good = StoreRow(key='good', content=json.dumps(TARGET).encode())
        handler.replace((StoreRow(key='odd', content=content), good), 0)
        assert 'good' in state.targets
        handler.change((StoreRow(key='odd', content=good.content),), 0, 0)
        assert state.targets.keys() == {'odd', 'good'}

    async def test_operators(self):
        """A good desired state is in force after odd rows."""

        @given(desired=spoil(STATE), version=spoil(VERSION))
        def read(desired, version):
            state = FleetState()
            handler = build_operator_handler(state, FLEET)
            rows = (
                StoreRow(key=names.DESIRED_KEY, content=desired),
                StoreRow(key=f'{names.VERSION_PREFIX}m', content=version),
            )
            handler.replace(rows, math.inf)
            handler.change((newest,), 0, 0)
            handler.change(rows, 0, 0)
            assert state.desired.version == 2**53

        content = json.dumps({**STATE, 'version': 2**53}).encode()
        newest = StoreRow(key=names.DESIRED_KEY, content=content)
        read()

    @pytest.mark.parametrize('message', MESSAGES)
    async def test_datagrams(self, message):
        """An odd datagram raises nothing."""

        @given(content=spoil(message))
        def receive(content):
            receiver.datagram_received(content, ('10.0.0.2', 1))

        receiver = LoadReceiver(forwarder=make_forwarder(make_state(), None))
        receive()
