"""Differences between two desired states, by the names of their entries."""

import hashlib
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from ragwortcourse.platform.field_faults import join_place
from ragwortcourse.structure import show_value

KEYS: Final = 'api_keys'
# Digits of a digest that tell keys apart without showing them.
DIGEST_DIGITS: Final = 8
ABSENT: Final = '(absent)'


class StateDifference(msgspec.Struct, frozen=True, kw_only=True):
    """One place at which two states differ.

    :param before: value in force, as text.
    :param after: value in the file, as text.
    """

    place: str
    before: str
    after: str


def list_differences(
    current: dict[str, Any], wanted: dict[str, Any]
) -> tuple[StateDifference, ...]:
    """List the differences from one state to another; keys are hidden."""
    return tuple(_compare(_mask_keys(current), _mask_keys(wanted), ''))


def _compare(before: Any, after: Any, place: str) -> Iterator[StateDifference]:
    before, after = _index(before), _index(after)
    if isinstance(before, dict) and isinstance(after, dict):
        for key in dict.fromkeys((*before, *after)):
            yield from _compare(
                before.get(key, ABSENT),
                after.get(key, ABSENT),
                join_place(place, key),
            )
    elif before != after:
        yield StateDifference(
            place=place, before=_show(before), after=_show(after)
        )


def _index(part: Any) -> Any:
    """Return a list of named entries by their names; all else as it is.

    Entries that share a name stay a list.
    """
    if not isinstance(part, list):
        return part
    names = [
        str(member['name'])
        for member in part
        if isinstance(member, dict) and 'name' in member
    ]
    if not part or len(set(names)) < len(part):
        return part
    return dict(zip(names, part, strict=True))


def _mask_keys(part: Any, name: str = '') -> Any:
    """Return a part of a state with digests in place of keys."""
    if isinstance(part, dict):
        return {key: _mask_keys(member, key) for key, member in part.items()}
    if isinstance(part, list):
        return [_mask_keys(member, name) for member in part]
    if name == KEYS:
        digest = hashlib.sha256(str(part).encode()).hexdigest()
        return f'sha256:{digest[:DIGEST_DIGITS]}'
    return part


def _show(part: Any) -> str:
    return part if part == ABSENT else show_value(part)
