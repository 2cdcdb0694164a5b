"""Holds docs/settings.md to the types."""

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
    """Each key of a type with its default in the page's words."""
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
    """What the page says of each key."""

    @pytest.mark.parametrize(
        ('kind', 'heading'),
        [
            (Settings, '## Settings of a process'),
            (Configuration, '## Configuration'),
        ],
    )
    def test_table_names_each_key_and_default(self, kind, heading):
        """Every key of the type is on the page, and no other."""
        section = PAGE.read_text().split(heading)[1].split('\n## ')[0]
        expected = dict(list_keys(inspect.type_info(kind)))
        assert dict(ROW.findall(section)) == expected
