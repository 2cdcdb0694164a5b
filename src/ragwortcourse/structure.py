"""Validation of a document's structure that reports all faults."""

from typing import Any

from msgspec import Struct, ValidationError, convert, inspect

from ragwortcourse.configuration.finding import Finding

MAX_SHOWN_CHARACTERS = 60


def collect_structure_findings(
    raw: object, kind: type[Struct], place: str = ''
) -> tuple[Finding, ...]:
    """Return findings for unknown keys, missing keys and wrong types.

    :param raw: document as returned by a TOML or JSON parser.
    :param kind: expected structure.
    :param place: key of ``raw`` in the file; empty for the whole file.
    """
    return tuple(_check_type(raw, inspect.type_info(kind), place))


def show_value(value: object) -> str:
    """Format a value from the file as one short line."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f'{text[:MAX_SHOWN_CHARACTERS]}…'


def _check_type(
    raw: object, expected: inspect.Type, place: str
) -> list[Finding]:
    if isinstance(expected, inspect.StructType):
        return _check_struct(raw, expected, place)
    if isinstance(expected, inspect.VarTupleType):
        return _check_items(raw, expected, place)
    if isinstance(expected, inspect.UnionType) and raw is not None:
        structs = [
            member
            for member in expected.types
            if isinstance(member, inspect.StructType)
        ]
        if structs:
            return _check_struct(raw, structs[0], place)
    return _check_leaf(raw, expected, place)


def _check_struct(
    raw: object, expected: inspect.StructType, place: str
) -> list[Finding]:
    if not isinstance(raw, dict):
        return [_build_finding(raw, place, 'a table of keys', 'not a table')]
    fields = {field.encode_name: field for field in expected.fields}
    findings = [
        Finding(
            place=_join(place, key),
            value=show_value(raw[key]),
            allowed=f'one of {", ".join(fields)}',
            message='unknown key',
        )
        for key in raw
        if key not in fields
    ]
    for name, field in fields.items():
        if name in raw:
            findings.extend(
                _check_type(raw[name], field.type, _join(place, name)),
            )
        elif field.required:
            findings.append(
                Finding(
                    place=_join(place, name),
                    value='',
                    allowed=describe_type(field.type),
                    message='missing',
                ),
            )
    return findings


def _check_items(
    raw: object, expected: inspect.VarTupleType, place: str
) -> list[Finding]:
    if not isinstance(raw, list):
        return [
            _build_finding(raw, place, describe_type(expected), 'not a list')
        ]
    findings: list[Finding] = []
    for index, member in enumerate(raw):
        findings.extend(
            _check_type(member, expected.item_type, f'{place}[{index}]'),
        )
    return findings


def _check_leaf(
    raw: object, expected: inspect.Type, place: str
) -> list[Finding]:
    try:
        convert(raw, _find_python_type(expected))
    except ValidationError:
        return [
            _build_finding(raw, place, describe_type(expected), 'wrong type')
        ]
    return []


def describe_type(expected: inspect.Type) -> str:
    """Describe in words which values a type allows."""
    if isinstance(expected, inspect.EnumType):
        return f'one of {", ".join(str(member) for member in expected.cls)}'
    if isinstance(expected, inspect.VarTupleType):
        return f'a list, each {describe_type(expected.item_type)}'
    if isinstance(expected, inspect.StructType):
        return 'a table of keys'
    if isinstance(expected, inspect.UnionType):
        return ' or '.join(describe_type(member) for member in expected.types)
    return _LEAF_WORDS.get(type(expected), 'a value')


_LEAF_WORDS = {
    inspect.BoolType: 'true or false',
    inspect.FloatType: 'a number',
    inspect.IntType: 'a whole number',
    inspect.NoneType: 'nothing',
    inspect.StrType: 'a string',
}
_LEAF_TYPES: dict[type[inspect.Type], Any] = {
    inspect.BoolType: bool,
    inspect.FloatType: float,
    inspect.IntType: int,
    inspect.NoneType: None,
    inspect.StrType: str,
}


def _find_python_type(expected: inspect.Type) -> Any:
    if isinstance(expected, inspect.EnumType):
        return expected.cls
    if isinstance(expected, inspect.UnionType):
        members = [_find_python_type(member) for member in expected.types]
        union = members[0]
        for member in members[1:]:
            union |= member
        return union
    return _LEAF_TYPES.get(type(expected), object)


def _build_finding(
    raw: object, place: str, allowed: str, message: str
) -> Finding:
    return Finding(
        place=place,
        value=show_value(raw),
        allowed=allowed,
        message=message,
    )


def _join(place: str, key: str) -> str:
    if place:
        return f'{place}.{key}'
    return key
