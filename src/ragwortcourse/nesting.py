"""Trimming of JSON that is nested more deeply than a decoder can follow."""

import re
from typing import Final

# A string, also one that is cut off, or a bracket outside of strings.
MARKS: Final = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[\]{}]', flags=re.DOTALL
)


def trim_nesting(content: bytes, levels: int) -> bytes:
    """Replace each array and object below some levels by null.

    Takes content of any depth, and any bytes.

    :param levels: levels of arrays and objects that are kept.
    """
    kept: list[bytes] = []
    level = 0
    start = 0
    for mark in MARKS.finditer(content):
        if mark[0] in {b'[', b'{'}:
            level += 1
            if level == levels + 1:
                kept.extend((content[start : mark.start()], b'null'))
                start = len(content)
        elif mark[0] in {b']', b'}'}:
            if level == levels + 1:
                start = mark.end()
            level -= 1
    return b''.join((*kept, content[start:]))
