"""Tests of :mod:`ragwortcourse.platform.target_rows`."""

import json

import pytest

from fakes.fleet_parts import REGIONS
from ragwortcourse.platform.target_rows import decode_target
from ragwortcourse.unreadable import UnreadableError

ROW = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'near-a',
    'slots': 16,
    'state': 'ready',
    'cold_left_ms': 1500,
    'layers': {'from': 0, 'to': 16, 'version': 2},
    'born': 1700,
}


def decode(key: str = 'i-1', **changes: object):
    """Decode the row of a target with some changed fields."""
    content = json.dumps({**ROW, **changes}).encode()
    return decode_target(key, content, REGIONS)


class TestAddress:
    """Addresses at which no target can be called."""

    @pytest.mark.parametrize(
        'address', ['127.0.0.1:99999', '[::1:80', 'x..y:80', '']
    )
    def test_unusable_address_fails_calls(self, address):
        """The row names no target.

        It was listed, and each call that chose it was answered 500 or 502.
        """
        with pytest.raises(UnreadableError):
            decode(address=address)


class TestName:
    """Keys that can't be the name of a target."""

    @pytest.mark.parametrize('key', ['', 'a\nb: c', 'a\r', 'a\0'])
    def test_unsendable_name_fails_calls(self, key):
        """The row names no target.

        Each call that chose it was answered 500, as no header can carry the
        name.
        """
        with pytest.raises(UnreadableError):
            decode(key)


class TestNumbers:
    """Numbers that mean nothing."""

    @pytest.mark.parametrize(
        'changes',
        [
            {'slots': -1},
            {'slots': 10**9},
            {'slots': 10**400},
            {'cold_left_ms': -1e308},
            {'cold_left_ms': 1e308},
            {'cold_left_ms': 10**300},
            {'born': -1},
            {'born': 10**399},
            {'layers': {'from': -1, 'to': 16, 'version': 1}},
            {'layers': {'from': 0, 'to': 10**30, 'version': 1}},
            {'layers': {'from': 0, 'to': 16, 'version': -1}},
            {'layers': {'from': 0, 'to': 16, 'version': 10**399}},
        ],
    )
    def test_meaningless_number_is_taken(self, changes):
        """The row names no target."""
        with pytest.raises(UnreadableError):
            decode(**changes)

    @pytest.mark.parametrize(
        'changes',
        [
            {'slots': 0},
            {'slots': 4096},
            {'cold_left_ms': 0},
            {'cold_left_ms': -0.5},
            {'cold_left_ms': 86_400_000.5},
            {'born': 0},
            {'born': 1_800_000_000_000},
            {'layers': {}},
            {'layers': {'from': 8, 'to': 8, 'version': 2**53}},
        ],
    )
    def test_sound(self, changes):
        """Any number that a target may state is taken."""
        assert decode(**changes).name == 'i-1'
