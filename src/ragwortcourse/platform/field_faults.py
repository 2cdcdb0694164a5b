"""Faults of single fields in a document that is read leniently.

The decoder stops at the first fault. Operators get all of them, and keys that
this project does not read are none.
"""

from collections.abc import Iterator
from types import NoneType, UnionType
from typing import Any, Final, get_args, get_origin

from msgspec import Struct, ValidationError, convert, structs

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.structure import show_value

EXPECTED: Final = 'Expected '


def find_field_faults(
    raw: object, kind: type[Struct], place: str = ''
) -> Iterator[Finding]:
    """Yield a finding for each field that the decoder refuses.

    :param raw: document as returned by a JSON parser.
    :param kind: type of the document.
    :param place: path of ``raw`` in the file; empty for the whole file.
    """
    if not isinstance(raw, dict):
        yield _build_fault(raw, place, 'an object')
        return
    for field in structs.fields(kind):
        spot = join_place(place, field.encode_name)
        if field.encode_name in raw:
            yield from _find_faults(raw[field.encode_name], field.type, spot)
        elif field.required:
            yield _build_fault(None, spot, 'a value', 'missing')


def join_place(place: str, key: str) -> str:
    """Join the path of an object and a key in it."""
    return f'{place}.{key}' if place else key


def _find_faults(raw: object, expected: Any, place: str) -> Iterator[Finding]:
    inner = _find_struct(expected)
    if inner is None or (raw is None and _is_optional(expected)):
        yield from _find_leaf_fault(raw, expected, place)
    elif get_origin(_drop_none(expected)) is list:
        yield from _find_list_faults(raw, inner, place)
    else:
        yield from find_field_faults(raw, inner, place)


def _find_list_faults(
    raw: object, inner: type[Struct], place: str
) -> Iterator[Finding]:
    if not isinstance(raw, list):
        yield _build_fault(raw, place, 'a list of objects')
        return
    for index, member in enumerate(raw):
        yield from find_field_faults(member, inner, f'{place}[{index}]')


def _find_leaf_fault(
    raw: object, expected: Any, place: str
) -> Iterator[Finding]:
    try:
        convert(raw, expected)
    except ValidationError as error:
        allowed, _, _ = str(error).removeprefix(EXPECTED).partition(' - at ')
        yield _build_fault(raw, place, allowed)


def _find_struct(expected: Any) -> type[Struct] | None:
    """Find the type of an object, or of the objects in a list."""
    kind = _drop_none(expected)
    if get_origin(kind) is list:
        kind = get_args(kind)[0]
    return kind if isinstance(kind, type) and issubclass(kind, Struct) else None


def _is_optional(expected: Any) -> bool:
    return isinstance(expected, UnionType)


def _drop_none(expected: Any) -> Any:
    if not _is_optional(expected):
        return expected
    kinds = get_args(expected)
    return next(kind for kind in kinds if kind is not NoneType)


def _build_fault(
    raw: object, place: str, allowed: str, message: str = 'wrong value'
) -> Finding:
    return Finding(
        place=place or '(file)',
        value='' if message == 'missing' else show_value(raw),
        allowed=allowed,
        message=message,
    )
