"""Tests of :mod:`ragwortcourse.decoding`."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortcourse.decoding import decode_json
from ragwortcourse.unreadable import UnreadableError

DEEP = b'[' * 100_000 + b']' * 100_000


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """A message with a part that need not be there."""

    name: str
    parts: list[int] = []


class TestDecodeJson:
    """Decoding of content that another process wrote."""

    def test_message(self):
        """Parts that the type does not have are skipped."""
        message = decode_json(b'{"name":"a","other":[{}]}', Message)
        assert message == Message(name='a')

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'\xff',
            b'{"name":"\xff"}',
            b'{"name":"\\ud800"}',
            b'{"name":1}',
            b'{"name":"a","parts":[%s]}' % (b'9' * 5000),
            b'{"name":%s}' % DEEP,
            b'{"name":"a","other":%s}' % DEEP,
            DEEP[: len(DEEP) // 2],
        ],
    )
    def test_unreadable(self, content):
        """Whatever is wrong with the content, the error is the same."""
        with pytest.raises(UnreadableError):
            decode_json(content, Message)

    @pytest.mark.parametrize('kind', [Message, msgspec.Raw, Message | None])
    @given(content=st.binary())
    def test_any_bytes(self, kind, content):
        """Any bytes are a message or unreadable."""
        try:
            decode_json(content, kind)
        except UnreadableError:
            return
