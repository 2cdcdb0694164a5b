"""Checks that docs/settings.md matches the types of the settings."""

import pathlib
import re
from collections.abc import Iterator

import pytest
from msgspec import NODEFAULT, inspect

from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.settings import Settings

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'
ROW = re.compile(r'^\| `([^`]+)` \| ([^|]+) \|', re.MULTILINE)
WORDS = {
    '': 'empty',
    '()': 'empty',
    'None': 'empty',
    'True': 'true',
    'False': 'false',
}


def list_keys(kind: inspect.Type, place: str = '') -> Iterator[tuple[str, str]]:
    """Yield each key of a type with its default as the page writes it."""
    if isinstance(kind, inspect.UnionType):
        kind = kind.types[0]
    if isinstance(kind, inspect.VarTupleType):
        kind, place = kind.item_type, f'{place}[]'
    if not isinstance(kind, inspect.StructType):
        return
    for field in kind.fields:
        key = f'{place}.{field.encode_name}'.removeprefix('.')
        inner = list(list_keys(field.type, key))
        text = str(field.default)
        default = WORDS.get(text, text)
        if field.default is NODEFAULT:
            default = 'required'
        yield from inner or [(key, default)]


class TestSettingsPage:
    """Tables of keys and defaults on the page."""

    @pytest.mark.parametrize(
        ('kind', 'heading'),
        [
            (Settings, '## Settings of a process'),
            (Configuration, '## Configuration'),
        ],
    )
    def test_table_names_each_key_and_default(self, kind, heading):
        """The page lists all keys of the type with defaults, and no others."""
        section = PAGE.read_text().split(heading)[1].split('\n## ')[0]
        expected = dict(list_keys(inspect.type_info(kind)))
        assert dict(ROW.findall(section)) == expected
