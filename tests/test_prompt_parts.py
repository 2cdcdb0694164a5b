"""Tests of :mod:`ragwortcourse.platform.prompt_parts`."""

import logging

import pytest

from ragwortcourse.platform.prompt_parts import (
    ID_LENGTH,
    PARTS_LIMIT,
    read_shared_parts,
)


class TestReadSharedParts:
    """Reading of the parts of a prompt."""

    @pytest.mark.parametrize(
        ('text', 'ids'),
        [
            ('', ()),
            ('5c1e07a2:800', ()),
            ('5c1e07a2:800,e4402b7d:250', ('5c1e07a2',)),
            ('5C1E:800, 91bd:410 ,e4402b7d:250', ('5c1e', '91bd')),
            ('5c:1,5c:1,91:2,e4:3', ('5c', '91')),
            ('5c:1,91:2,', ('5c',)),
        ],
    )
    def test_ids(self, text, ids, caplog):
        """All parts but the last are returned, each once, in order."""
        assert read_shared_parts(text) == ids
        assert not caplog.records

    @pytest.mark.parametrize(
        ('text', 'ids'),
        [
            ('prompt:1,5c:2,e4:3', ('5c',)),
            (':1,5c:2,e4:3', ('5c',)),
            (f'{"a" * (ID_LENGTH + 1)}:1,5c:2,e4:3', ('5c',)),
            (',,5c:1,,e4:3', ('5c',)),
            ('a' * 1_000_000 + ',e4:3', ()),
        ],
    )
    def test_unreadable_parts(self, text, ids, caplog):
        """Unreadable parts are left out with one log line."""
        with caplog.at_level(logging.WARNING):
            assert read_shared_parts(text) == ids
        assert len(caplog.records) == 1

    def test_ten_thousand_parts(self, caplog):
        """Only the first parts of a very long prompt are looked at."""
        text = ','.join(f'{number:x}:1' for number in range(10_000))
        with caplog.at_level(logging.WARNING):
            assert len(read_shared_parts(text)) == PARTS_LIMIT
        assert len(caplog.records) == 1
