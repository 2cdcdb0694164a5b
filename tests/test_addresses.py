"""Tests of :mod:`ragwortcourse.addresses`."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from yarl import URL

from ragwortcourse.addresses import (
    is_address,
    parse_address,
    split_address,
)
from ragwortcourse.unreadable import UnreadableError

ODD = (
    '',
    ':80',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:+80',
    '127.0.0.1:99999',
    '127.0.0.1:' + '9' * 5000,
    '127.0.0.1:٨٠',
    '127.0.0.1:80/a',
    '127.0.0.1:80\n',
    '127.0.0.256:80',
    '127.0.0.1]:80',
    '[127.0.0.1]:80',
    '[::1:80',
    '::1]:80',
    '::1:80',
    '[fe80::1%eth0]:80',
    'x..y:80',
    'name:80',
    'user@127.0.0.1:80',
)
SOUND = (
    '127.0.0.1:1',
    '10.200.1.7:8007',
    '255.255.255.255:65535',
    '[::1]:80',
    '[FE80::1]:80',
)


class TestParseAddress:
    """Addresses that other processes name."""

    @pytest.mark.parametrize('text', SOUND)
    def test_sound(self, text):
        """An address is taken as it is."""
        assert parse_address(text) == text
        assert is_address(text)

    @pytest.mark.parametrize('text', ODD)
    def test_unusable(self, text):
        """Whatever can't be called is no address."""
        assert not is_address(text)
        with pytest.raises(UnreadableError):
            parse_address(text)

    @given(
        text=st.text()
        | st.from_regex(r'\[?[0-9a-f:.]+\]?:[0-9]+', fullmatch=True)
        | st.ip_addresses(v=4).map('{}:80'.format)
        | st.ip_addresses(v=6).map('[{}]:80'.format)
    )
    @example('[::1:80')
    def test_can_be_called(self, text):
        """The parts of each address are those of its URL."""
        if is_address(text):
            host, port = split_address(text)
            url = URL(f'http://{text}/', encoded=True)
            assert url.port == port
            assert url.host == host.lower()
