"""Tests of :mod:`ragwortcourse.nesting`."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortcourse.nesting import trim_nesting

TREES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda parts: st.lists(parts) | st.dictionaries(st.text(), parts),
)


def trim(tree: object, levels: int) -> object:
    """Trim a decoded tree."""
    if not isinstance(tree, list | dict):
        return tree
    if not levels:
        return None
    if isinstance(tree, list):
        return [trim(part, levels - 1) for part in tree]
    return {key: trim(part, levels - 1) for key, part in tree.items()}


class TestTrimNesting:
    """Parts below some levels."""

    @given(tree=TREES, levels=st.integers(0, 4))
    def test_any_tree(self, tree, levels):
        """Parts below the levels are null, the others are kept."""
        trimmed = trim_nesting(json.dumps(tree).encode(), levels)
        assert json.loads(trimmed) == trim(tree, levels)

    @given(content=st.binary(), levels=st.integers(0, 4))
    def test_any_bytes(self, content, levels):
        """Bytes that are not JSON raise nothing."""
        trim_nesting(content, levels)

    @pytest.mark.parametrize(
        'content', [b'[' * 1_000_000, b'"' + b'\\"' * 1_000_000]
    )
    def test_cost(self, content):
        """The time grows with the length alone."""
        assert len(trim_nesting(content, 1)) <= len(content) + len(b'null')
