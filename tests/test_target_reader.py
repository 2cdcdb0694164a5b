"""Tests of :mod:`ragwortcourse.platform.target_reader`."""

import json

import pytest

from fakes.fleet_parts import REGIONS
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.platform.store_row import StoreRow
from ragwortcourse.platform.target_reader import build_target_handler

ROW = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'near-a',
    'slots': 16,
    'state': 'ready',
    'cold_left_ms': 0,
    'born': 1700,
}
DEPTH = 100_000
DEEP = b'{"seq":%s,%s' % (
    b'[' * DEPTH + b']' * DEPTH,
    json.dumps(ROW).encode()[1:],
)


def make_row(key: str, **changes: object) -> StoreRow:
    """Build the row of a target with some changed fields."""
    return StoreRow(key=key, content=json.dumps({**ROW, **changes}).encode())


@pytest.fixture
def state():
    """State of a daemon that has read nothing."""
    return FleetState()


@pytest.fixture
def handler(state):
    """Handler that applies rows to the state."""
    return build_target_handler(TargetList(state=state), REGIONS)


class TestOddRows:
    """Rows of other writers that are no targets."""

    @pytest.mark.parametrize('content', [DEEP, DEEP[:DEPTH], b'\xff', b'[]'])
    @pytest.mark.parametrize('whole', [True, False])
    async def test_deeply_nested_row_ends_the_daemon(
        self, handler, state, whole, content, caplog
    ):
        """An odd row is logged by its key, and the others are applied."""
        rows = (
            make_row('a'),
            StoreRow(key='odd', content=content),
            make_row('b'),
        )
        if whole:
            handler.replace(rows, 0)
        else:
            handler.change(rows, 0, 0)
        assert state.targets.keys() == {'a', 'b'}
        (record,) = [
            each for each in caplog.records if 'unreadable' in each.message
        ]
        assert record.row == 'odd'

    async def test_no_address(self, handler, state):
        """A target at which nothing can be called is not listed."""
        odd = make_row('odd', address='127.0.0.1:99999')
        handler.replace((odd, make_row('a')), 0)
        assert state.targets.keys() == {'a'}
        handler.change((make_row('odd'),), 0, 0)
        assert state.targets.keys() == {'a', 'odd'}

    @pytest.mark.parametrize(
        'address', ['127.0.0.1:99999', '[::1:80', 'x..y:80', '']
    )
    async def test_address_gets_into_the_state(self, handler, state, address):
        """No row puts such an address into the state, and none keeps it there.

        Requests that may not be repeated would fail there with 502.
        """
        odd = make_row('a', address=address)
        handler.change((odd,), 0, 0)
        assert not state.targets
        handler.replace((make_row('a'),), 0)
        handler.change((odd,), 0, 0)
        assert not state.targets
        handler.replace((make_row('a'), make_row('b')), 0)
        handler.replace((odd, make_row('b')), 0)
        assert state.targets.keys() == {'b'}

    async def test_good_again(self, handler, state):
        """A target is listed again with the next good version of its row."""
        handler.change((StoreRow(key='a', content=DEEP),), 0, 0)
        assert not state.targets
        handler.change((make_row('a', slots=4),), 0, 0)
        assert state.targets['a'].slots == 4

    async def test_target_turns_odd(self, handler, state):
        """A target whose row turns odd gets no new requests, others do."""
        handler.replace((make_row('a'), make_row('b')), 0)
        handler.change((StoreRow(key='a', content=DEEP),), 0, 0)
        assert state.targets.keys() == {'b'}
