"""Tests of :mod:`ragwortcourse.ingress.request_framing`."""

import itertools

import pytest

from ragwortcourse.ingress.request_framing import RequestFraming
from ragwortcourse.ingress.request_sizes import RequestSize

HEAD = b'POST / HTTP/1.1\r\nHost: a\r\n'
PLAIN = HEAD + b'\r\n'
SIZED = HEAD + b'content-LENGTH:  5 \r\n\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: gzip, Chunked\r\n\r\n'
CHUNKS = b'3\r\nabc\r\n2;a="b"\r\nde\r\n0\r\nX: y\r\n\r\n'


def read(*pieces: bytes) -> RequestFraming:
    """Read pieces of a connection."""
    framing = RequestFraming()
    for piece in pieces:
        framing.feed(piece)
    return framing


def list_whole(framing: RequestFraming) -> list[RequestSize]:
    """List the whole requests, by beginning them one after the other."""
    found = []
    while framing.sizes.waiting_overhead:
        framing.sizes.begin()
        found.append(framing.sizes.running)
    return found


class TestRequestFraming:
    """Sizes of requests by their bytes."""

    @pytest.mark.parametrize(
        ('sent', 'body', 'framing'),
        [
            (PLAIN, 0, 0),
            (HEAD + b'Content-Length: 0\r\n\r\n', 0, 0),
            (SIZED + b'abcde', 5, 0),
            (CHUNKED + CHUNKS, 5, len(CHUNKS) - 5),
        ],
    )
    def test_any_split(self, sent, body, framing):
        """The sizes are the same wherever the pieces are split."""
        head = len(sent) - body - framing
        expected = RequestSize(head=head, body=body, framing=framing)
        for first, second in itertools.combinations(range(len(sent) + 1), 2):
            read_pieces = read(sent[:first], sent[first:second], sent[second:])
            assert list_whole(read_pieces) == [expected]
            assert not read_pieces.partial_head

    def test_pipelined(self):
        """Each of several requests in one piece has its own sizes."""
        framing = read(SIZED + b'abcde' + CHUNKED + CHUNKS + PLAIN + SIZED)
        assert [size.body for size in list_whole(framing)] == [5, 5, 0, 0]
        framing.feed(b'abc')
        assert framing.sizes.running.body == 3
        assert not framing.sizes.waiting_body

    def test_partial_head(self):
        """The end of a body is where the next head begins."""
        framing = read(SIZED + b'ab')
        assert not framing.partial_head
        framing.feed(b'cde\r\n' + HEAD)
        assert framing.partial_head == len(HEAD)

    @pytest.mark.parametrize('line', [b'x\r\n', b'\r\n', b'3\r\nabcd\r\n'])
    def test_invalid_chunk(self, line):
        """Bytes that are no chunk count beside the body, without end."""
        framing = read(CHUNKED, line, bytes(1000))
        assert framing.sizes.arriving.framing >= 1000
        assert framing.sizes.arriving.body <= 3

    def test_line_without_end(self):
        """A chunk size without an end counts as it arrives."""
        framing = read(CHUNKED, *[b'0' * 1000] * 3)
        assert framing.sizes.arriving.framing == 3000
